package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/account"
)

// This file runs all orders of a few steps of the token protocol with three hosts. It tests
// the ledger alone, without the timing of the limiter.

// stepDepth is the number of steps in each order. Host 0 admits all requests that it can
// before these steps, and all hosts do so after them.
const stepDepth = 4

// smallBound allows only a few requests, so that a few steps reach it.
var smallBound = Bound{Window: time.Second, Overshoot: 0.2, Slack: 2}

// protocol is three hosts of one zone with one account.
type protocol struct {
	now        time.Time
	account    *account.Account
	assignment *Assignment
	ledgers    [3]*ledger
	// admitted are the times of the admitted requests.
	admitted []time.Time
	// delayed are tokens that were removed from a bucket and have not arrived yet.
	delayed []delayedTokens
}

type delayedTokens struct {
	to          *ledger
	tokens      int
	requestedAt time.Time
}

func newProtocol() *protocol {
	p := &protocol{now: time.Unix(1000, 0), account: limited("a", 9, 9)}
	p.assignment = &Assignment{Layout: &Layout{Zones: []Zone{{Name: "z", Region: "r", Large: []string{"0", "1", "2"}}}}, HoldsShards: true, HeldSince: p.now}
	for i := range p.ledgers {
		p.restart(i)
	}
	p.now = p.now.Add(3 * time.Second) // the shards are full
	return p
}

func (p *protocol) restart(host int) {
	assignment := *p.assignment
	assignment.HeldSince = p.now
	p.ledgers[host] = &ledger{}
	p.ledgers[host].update(p.account, &assignment, smallBound, fmt.Sprint(host), "z", p.now)
}

// admit admits as many requests as a host can.
func (p *protocol) admit(host int) {
	for p.ledgers[host].take(p.now) {
		p.admitted = append(p.admitted, p.now)
	}
}

// request makes one host request tokens from another. The tokens arrive, are lost or are
// delayed.
func (p *protocol) request(from, to int, arrives, lost bool) {
	tokens := p.ledgers[to].grantTokens(5*tokensPerRequest, p.now)
	switch {
	case lost:
	case arrives:
		p.ledgers[from].receive(tokens, p.now)
	default:
		p.delayed = append(p.delayed, delayedTokens{p.ledgers[from], tokens, p.now})
	}
}

// arrive delivers all delayed tokens, even to a process that has terminated.
func (p *protocol) arrive() {
	for _, d := range p.delayed {
		d.to.receive(d.tokens, d.requestedAt)
	}
	p.delayed = nil
}

// steps returns all possible steps.
func steps() []func(*protocol) {
	out := []func(*protocol){
		(*protocol).arrive,
		func(p *protocol) { p.now = p.now.Add(200 * time.Millisecond) },
		func(p *protocol) { p.now = p.now.Add(tokenTTL) },
	}
	for host := range 3 {
		out = append(out, func(p *protocol) { p.admit(host) }, func(p *protocol) { p.restart(host) })
		other := (host + 1) % 3
		for _, o := range []struct{ arrives, lost bool }{{true, false}, {false, true}, {false, false}} {
			out = append(out, func(p *protocol) { p.request(host, other, o.arrives, o.lost) })
		}
	}
	return out
}

func TestNoOrderOfStepsAdmitsMoreThanTheBound(t *testing.T) {
	all := steps()
	orders := 1
	for range stepDepth {
		orders *= len(all)
	}
	limit := smallBound.limit(9, 9)
	most := 0
	for order := range orders {
		p := newProtocol()
		p.admit(0)
		for range stepDepth {
			all[order%len(all)](p)
			order /= len(all)
		}
		p.arrive()
		for host := range p.ledgers {
			p.admit(host)
		}
		most = max(most, maxInWindow(p.admitted, smallBound.Window))
	}
	t.Logf("%d orders, at most %d of %.1f requests admitted", orders, most, limit)
	require.LessOrEqual(t, float64(most), limit)
	require.Greater(t, most, 5, "some orders come close to the bound")
}
