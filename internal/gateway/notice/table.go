package notice

import (
	"hash/fnv"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"cairndock/internal/gateway/upstream"
)

const (
	// shareHolds is how long a host goes by its last look at who shares a limit.
	shareHolds = 200 * time.Millisecond
	// askAfter is the time, for each host that shares a limit, after which a host asks again
	// whether the limit is still there, by one request, that nobody has confirmed: a host
	// without a share, which others do not reach, would else never send there again. Up to
	// as much again is added, by host and upstream, so that all of them together ask less
	// than once in askAfter. leastAsk and mostAsk bound it.
	askAfter = 10 * time.Second
	leastAsk = 30 * time.Second
	mostAsk  = 10 * time.Minute
	// goneAfter is how long what a run has said is kept that is not registered any more: as
	// long as one that comes back counts as the same (package upstream).
	goneAfter = time.Minute
	// endLasts is for how long other hosts are told that a limit has ended.
	endLasts = 10 * time.Second
)

// Shares splits what hosts keep together.
type Shares interface {
	// LimitShare returns this host's share of a number of tokens of an upstream's limit.
	// The shares of all hosts add up to that number at most.
	LimitShare(id, region string, tokens int) Share
}

// Share is a host's share of a limit.
type Share struct {
	// Tokens is how many it has.
	Tokens int
	// Hosts is how many hosts share the limit, those without tokens included.
	Hosts int
}

// Reporter is told what upstreams say. Its methods are called without the table's lock.
type Reporter interface {
	// Limited means that an upstream has named a limit, in requests a second, or another
	// one than before.
	Limited(run upstream.Run, perSecond float64)
	// Leaves means that an upstream leaves.
	Leaves(run upstream.Run)
	// Rests means that an upstream which this host sent requests to wants none for a time.
	Rests(run upstream.Run, d time.Duration)
	// LimitEnded means that it has none any more.
	LimitEnded(run upstream.Run)
}

// Table has the notices that are in force at one host. It is safe for concurrent use.
type Table struct {
	host     string
	shares   Shares
	reporter Reporter

	// size is how many notices there are, which choices ask for without the lock.
	size   atomic.Int32
	mu     sync.Mutex
	limits map[upstream.Run]*limit
	// leaving has the runs that leave.
	leaving map[upstream.Run]*leaver
	// restsUntil has until when each run wants no request of this host, and restsElsewhere
	// of another one, which binds this host to nothing.
	restsUntil, restsElsewhere map[upstream.Run]time.Time
}

// NewTable makes the empty table of a host.
func NewTable(host string, shares Shares, reporter Reporter) *Table {
	return &Table{host: host, shares: shares, reporter: reporter, limits: map[upstream.Run]*limit{}, leaving: map[upstream.Run]*leaver{}, restsUntil: map[upstream.Run]time.Time{}, restsElsewhere: map[upstream.Run]time.Time{}}
}

// resized follows how many notices there are; t.mu is held.
func (t *Table) resized() {
	t.size.Store(int32(len(t.limits) + len(t.leaving) + len(t.restsUntil) + len(t.restsElsewhere)))
}

// Observe takes what a response of a run says, whose request was sent at a time.
//
// A lower limit is in force at once. That it is higher or has ended counts only in a
// response to a request that was sent after the limit was heard: responses overtake each
// other, and one that was only slower says how it was before.
func (t *Table) Observe(run upstream.Run, n Notice, sent, now time.Time) {
	if n.Leaving {
		t.leave(run, now)
	}
	if n.Rest > 0 {
		t.rest(run, n.Rest, now)
	}
	if n.Limit.word == unclear || n.Limit.word == silent && t.size.Load() == 0 {
		return
	}
	t.mu.Lock()
	report := t.observeLimit(run, n.Limit, sent, now)
	t.mu.Unlock()
	report()
}

// observeLimit takes what a response says of a limit; t.mu is held. It returns what to
// report without it.
func (t *Table) observeLimit(run upstream.Run, said Limit, sent, now time.Time) (report func()) {
	l := t.limits[run]
	known := l != nil && !l.ended
	later := l == nil || sent.After(l.heard)
	switch {
	case said.word == silent && known && later:
		l.end(now, now)
		return func() { t.reporter.LimitEnded(run) }
	case said.word == silent, !later && l.ended, !later && said.perSecond > l.perSecond:
		return func() {}
	}
	return t.put(run, said.perSecond, now, now)
}

// put puts a limit in force that was heard at a time.
func (t *Table) put(run upstream.Run, perSecond float64, heard, now time.Time) (report func()) {
	l := t.limits[run]
	if l == nil {
		l = &limit{filledAt: now, registered: now}
		t.limits[run] = l
		t.resized()
	}
	changed := l.ended || l.heard.IsZero() || l.perSecond != perSecond
	l.set(perSecond, heard, now)
	if !changed {
		return func() {}
	}
	return func() { t.reporter.Limited(run, perSecond) }
}

// Withheld is why an upstream gets no request now.
type Withheld struct {
	// Upstream is its id; empty if it may get one.
	Upstream string
	// Leaving is set when it leaves, and Resting when it wants none for a time. Then the
	// limit does not count.
	Leaving, Resting bool
	// PerSecond is its limit, and Share how many of Tokens are this host's.
	PerSecond     float64
	Share, Tokens int
	// For is how long this host sends it nothing; negative if that is not known.
	For time.Duration
}

// Withheld returns why an upstream gets no request now; the zero value if it may.
func (t *Table) Withheld(u *upstream.Upstream, now time.Time) Withheld {
	if t.size.Load() == 0 {
		return Withheld{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, leaves := t.leaving[u.Run()]; leaves {
		return Withheld{Upstream: u.ID, Leaving: true, For: -1}
	}
	if left := t.restsUntil[u.Run()].Sub(now); left > 0 {
		return Withheld{Upstream: u.ID, Resting: true, For: left}
	}
	l := t.inForce(u.Run())
	if l == nil {
		return Withheld{}
	}
	l.fill(now, func(tokens int) Share { return t.shares.LimitShare(u.ID, u.Region, tokens) })
	wait := l.untilNext()
	if wait == 0 || t.mayAsk(u.Run(), l, now) {
		return Withheld{}
	}
	return Withheld{Upstream: u.ID, PerSecond: l.perSecond, Share: l.share.Tokens, Tokens: tokensOf(l.perSecond), For: wait}
}

// MaySend reports whether a request for which an upstream was chosen may still be sent: it
// may have waited since, for a connection or for processor time.
func (t *Table) MaySend(u *upstream.Upstream, now time.Time) bool {
	if t.size.Load() == 0 {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	_, leaves := t.leaving[u.Run()]
	return !leaves && !now.Before(t.restsUntil[u.Run()])
}

// Take counts a request for which an upstream was chosen that Withheld let pass.
func (t *Table) Take(u *upstream.Upstream, now time.Time) {
	if t.size.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.inForce(u.Run())
	if l == nil {
		return
	}
	if l.level < 1 {
		l.asked = now
		return
	}
	l.level--
}

// inForce returns the limit of a run; nil if there is none.
func (t *Table) inForce(run upstream.Run) *limit {
	l := t.limits[run]
	if l == nil || l.ended {
		return nil
	}
	return l
}

// mayAsk reports whether a request may ask if a limit is still there.
func (t *Table) mayAsk(run upstream.Run, l *limit, now time.Time) bool {
	after := min(max(leastAsk, time.Duration(l.share.Hosts)*askAfter), mostAsk)
	h := fnv.New32a()
	_, _ = h.Write([]byte(t.host + " " + string(run))) // a hash returns no error
	after += time.Duration(h.Sum32()%uint32(after/time.Millisecond)) * time.Millisecond
	return now.Sub(l.heard) >= after && now.Sub(l.asked) >= after
}

// Limits is the number of limits in force.
func (t *Table) Limits() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for run := range t.limits {
		if t.inForce(run) != nil {
			n++
		}
	}
	return n
}

// Suspended has what was heard be older by the time for which the machine was suspended.
// Tokens that came meanwhile do not count.
func (t *Table) Suspended(gap time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.limits {
		l.heard = l.heard.Add(-gap)
		l.asked = l.asked.Add(-gap)
	}
}

// Retain drops what runs have said that keep has rejected for goneAfter, limits that have
// ended, and rests that are over.
func (t *Table) Retain(keep func(upstream.Run) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	gone := func(run upstream.Run, registered *time.Time) bool {
		if keep(run) {
			*registered = now
		}
		return now.Sub(*registered) >= goneAfter
	}
	maps.DeleteFunc(t.leaving, func(run upstream.Run, l *leaver) bool { return gone(run, &l.registered) })
	maps.DeleteFunc(t.limits, func(run upstream.Run, l *limit) bool {
		return gone(run, &l.registered) || l.ended && now.Sub(l.heard) >= endLasts
	})
	over := func(_ upstream.Run, until time.Time) bool { return !now.Before(until) }
	maps.DeleteFunc(t.restsUntil, over)
	maps.DeleteFunc(t.restsElsewhere, over)
	t.resized()
}
