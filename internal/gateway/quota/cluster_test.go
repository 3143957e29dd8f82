package quota

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"cairndock/internal/gateway/account"
)

// This file has a cluster of limiters in virtual time, with a network between them that
// loses, delays and cuts.

// cluster is hosts that share limits.
type cluster struct {
	rng    *rand.Rand
	bound  Bound
	layout *Layout

	mu    sync.Mutex
	hosts map[string]*clusterHost
	// accounts are those in force, by name.
	accounts map[string]*account.Account
	// cut reports whether two hosts can't reach each other.
	cut func(a, b *clusterHost) bool
	// loss is the part of answers that are lost, and lag the most that one is late beside
	// the way there.
	loss float64
	lag  time.Duration
	// passed has when requests passed, and refused when they were, by account.
	passed, refused map[string][]time.Time
	asks            int
}

// clusterHost is one host; its limiter is a new one after each restart.
type clusterHost struct {
	cluster            *cluster
	name, zone, region string
	limiter            *Limiter
	place              *Place
	// down is set while the process is dead.
	down bool
}

// The ways between hosts, there and back.
const (
	nearWay = time.Millisecond
	farWay  = 70 * time.Millisecond
)

func newCluster(seed uint64, l *Layout, accounts ...*account.Account) *cluster {
	c := &cluster{
		rng: rand.New(rand.NewPCG(seed, 1)), bound: bound, layout: l, hosts: map[string]*clusterHost{}, accounts: map[string]*account.Account{},
		cut: func(_, _ *clusterHost) bool { return false }, passed: map[string][]time.Time{}, refused: map[string][]time.Time{},
	}
	for _, a := range accounts {
		c.accounts[a.Name] = a
	}
	for _, z := range l.Zones {
		for _, name := range slices.Concat(z.Large, z.Small) {
			h := &clusterHost{cluster: c, name: name, zone: z.Name, region: z.Region}
			c.hosts[name] = h
			h.start()
		}
	}
	return c
}

// start starts the host's process: all that an earlier one knew is gone.
func (h *clusterHost) start() {
	c := h.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	h.down = false
	h.place = &Place{Layout: c.layout, Holds: true, Since: time.Now()}
	h.limiter = NewLimiter(Options{Host: h.name, Zone: h.zone, Region: h.region, Bound: c.bound, Hosts: h, Metrics: noMetrics{}})
}

func (h *clusterHost) stop() {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	h.down = true
}

type noMetrics struct{}

func (noMetrics) Add(string, int) {}

// Place implements Hosts.
func (h *clusterHost) Place() *Place {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	return h.place
}

var errNoAnswer = errors.New("no answer")

// RequestTokens implements Hosts.
func (h *clusterHost) RequestTokens(ctx context.Context, host string, ask Ask) (Answer, error) {
	c := h.cluster
	other, late, reached, answered := c.route(h, host)
	if !reached {
		<-ctx.Done()
		return Answer{}, errNoAnswer
	}
	way := nearWay
	if other.region != h.region {
		way = farWay
	}
	time.Sleep(way / 2)
	answer, up := other.giveTokens(ask)
	time.Sleep(way/2 + late)
	if !up || !answered || ctx.Err() != nil && late == 0 {
		return Answer{}, errNoAnswer
	}
	return answer, nil // also one that comes after the asker gave up, as a paused host's
}

func (c *cluster) route(from *clusterHost, to string) (other *clusterHost, late time.Duration, reached, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asks++
	other = c.hosts[to]
	if other == nil || other.down || c.cut(from, other) {
		return nil, 0, false, false
	}
	if c.lag > 0 {
		late = time.Duration(c.rng.Int64N(int64(c.lag)))
	}
	return other, late, true, c.rng.Float64() >= c.loss
}

func (h *clusterHost) giveTokens(ask Ask) (Answer, bool) {
	c := h.cluster
	c.mu.Lock()
	limiter, a, down := h.limiter, c.accounts[ask.Account], h.down
	c.mu.Unlock()
	if down {
		return Answer{}, false
	}
	return limiter.Give(a, ask.Tokens), true
}

// request has a client of an account send a request to a host.
func (h *clusterHost) request(t testing.TB, name string) {
	c := h.cluster
	c.mu.Lock()
	limiter, a, down := h.limiter, c.accounts[name], h.down
	c.mu.Unlock()
	if down {
		return
	}
	_, ok := limiter.Admit(t.Context(), a)
	c.mu.Lock()
	defer c.mu.Unlock()
	if h.limiter != limiter || h.down {
		return // the process has ended, and sent nothing
	}
	if ok {
		c.passed[name] = append(c.passed[name], time.Now())
	} else {
		c.refused[name] = append(c.refused[name], time.Now())
	}
}

// load sends requests of an account at a rate, at moments of chance, until the time has
// passed. pick chooses the host of each.
func (c *cluster) load(t testing.TB, wait *sync.WaitGroup, name string, perSecond float64, d time.Duration, pick func(*rand.Rand) *clusterHost) {
	c.mu.Lock()
	rng := rand.New(rand.NewPCG(c.rng.Uint64(), 2))
	c.mu.Unlock()
	wait.Go(func() {
		for end := time.Now().Add(d); time.Now().Before(end); {
			time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
			h := pick(rng)
			wait.Go(func() { h.request(t, name) })
		}
	})
}

// hostsOf gives the hosts that a test chooses by a rule, in order.
func (c *cluster) hostsOf(rule func(*clusterHost) bool) []*clusterHost {
	var out []*clusterHost
	for _, h := range c.hosts {
		if rule(h) {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b *clusterHost) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return out
}

// large reports whether clients are given a host first.
func (h *clusterHost) large() bool {
	for _, z := range h.cluster.layout.Zones {
		if slices.Contains(z.Large, h.name) {
			return true
		}
	}
	return false
}

// anyOf picks one of some hosts by chance.
func anyOf(hosts []*clusterHost) func(*rand.Rand) *clusterHost {
	return func(rng *rand.Rand) *clusterHost { return hosts[rng.IntN(len(hosts))] }
}

// worstWindow is the most requests that passed in any window.
func worstWindow(times []time.Time, window time.Duration) int {
	times = slices.Clone(times)
	slices.SortFunc(times, time.Time.Compare)
	worst, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}
