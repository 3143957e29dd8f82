package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// askTimeout bounds one question to a holder: within maxWait, and above a round
	// trip between distant regions.
	askTimeout = 120 * time.Millisecond
	// nearAsks is how many holders of the own region are asked, one after the other,
	// and farAsks how many of others, together: asked one after the other, these take a
	// round trip between regions each.
	nearAsks = 4
	farAsks  = 5
	// farSurplus is how many times what is wanted holders of other regions are asked for
	// together, as some have less. Asked for just that, each round left a rest for the
	// next, and requests waited for several round trips: with all clients in one region
	// 1.8 of 1,000 were refused below their limit, most of accounts of 30 requests a
	// second. What is left over is used by the next requests, or lapses.
	farSurplus = 2
	// freeRounds is how many times holders are asked in a row, others each time, while
	// none has anything, until the host pauses.
	freeRounds = 3
	// emptyFor is how long a holder is not asked that gave less than it was asked for,
	// and silentFor that time for one that did not answer.
	emptyFor  = 250 * time.Millisecond
	silentFor = 500 * time.Millisecond
)

// round is one time of asking holders for tokens of an account. Holders of the own region
// come first, as they answer at once, and as what clients there don't use is most often
// there.
type round struct {
	limiter   *Limiter
	ledger    *ledger
	account   string
	near, far []Holder
}

// ask begins to ask other hosts for tokens, unless they are being asked, or had none a
// moment ago; l.mu is held.
func (l *Limiter) ask(led *ledger, now time.Time) {
	if !led.mayAsk(now) {
		return
	}
	want := led.want(now)
	if want <= 0 {
		return
	}
	r := round{limiter: l, ledger: led, account: led.account.Name}
	r.near, r.far = l.holdersToAsk(led, now)
	if len(r.near)+len(r.far) == 0 {
		led.pausedUntil = now.Add(leastPause)
		return
	}
	led.asking, led.asked, led.got = true, want, 0
	go r.run(want)
}

// holdersToAsk gives the holders that may have tokens.
func (l *Limiter) holdersToAsk(led *ledger, now time.Time) (near, far []Holder) {
	if led.others == nil {
		led.others = led.place.Layout.others(led.account.Name, l.Host, l.Zone, l.Region, led.budget.Shards)
		led.emptyUntil = map[string]time.Time{}
	}
	for _, h := range led.others {
		switch {
		case now.Before(led.emptyUntil[h.Host]):
		case h.Region == l.Region && len(near) < nearAsks:
			near = append(near, h)
		case h.Region != l.Region && len(far) < farAsks:
			far = append(far, h)
		}
	}
	return near, far
}

// run asks until the tokens wanted are there, or no holder is left.
func (r round) run(want int) {
	for _, h := range r.near {
		if want <= 0 {
			break
		}
		want -= r.askOne(h, want)
	}
	if want > 0 && len(r.far) > 0 {
		r.askFar(want)
	}
	r.end()
}

// askFar asks holders of other regions together, each for an equal part of farSurplus
// times what is wanted.
func (r round) askFar(want int) {
	each := (farSurplus*want + len(r.far) - 1) / len(r.far)
	var wait sync.WaitGroup
	for _, h := range r.far {
		wait.Go(func() { r.askOne(h, each) })
	}
	wait.Wait()
}

// askOne asks one holder and returns what it gave. What comes too late is lost: the
// holder has taken it out of its shards already.
func (r round) askOne(h Holder, want int) int {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	l := r.limiter
	asked := time.Now()
	answer, err := l.Hosts.RequestTokens(ctx, h.Host, Ask{Account: r.account, Tokens: want})
	got := max(0, min(answer.Tokens, want))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Metrics.Add("cairndock_quota_asks_total", 1)
	switch {
	case err != nil:
		// Not logged: a holder that is dead or cut off is reported by its heartbeats.
		r.ledger.skip(h.Host, asked.Add(silentFor))
		return 0
	case got < want:
		r.ledger.skip(h.Host, asked.Add(emptyFor))
	}
	r.ledger.receive(got, asked)
	r.ledger.tell()
	return got
}

// skip has a holder not be asked until a time.
func (l *ledger) skip(host string, until time.Time) {
	if l.emptyUntil != nil {
		l.emptyUntil[host] = until
	}
}

// end ends the round.
func (r round) end() {
	l := r.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	r.ledger.asking = false
	r.ledger.notePause(time.Now())
	r.ledger.tell()
}

// notePause has no holder be asked for a while after several rounds without a token, the
// longer the more there were. Many accounts above their limit would cost hosts a question
// for each of their requests.
func (l *ledger) notePause(now time.Time) {
	if l.got > 0 {
		l.fruitless = 0
		return
	}
	l.fruitless++
	if n := l.fruitless - freeRounds; n >= 0 {
		pause := min(mostPause, leastPause<<min(n, maxDoublings))
		l.pausedUntil = now.Add(pause/2 + rand.N(pause))
	}
}
