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
	// shareTTL is how long a host uses its share of a limit before it computes it anew.
	shareTTL = 200 * time.Millisecond
	// probeIntervalPerHost determines how long a host waits before it probes whether an
	// unconfirmed limit is still in force. A limit is unconfirmed if the upstream has not
	// named it in a response and no other host has reported it. The probe is one request
	// that needs no token. Without probes, a host without a share of the limit that no
	// other host reaches would never send to the upstream again.
	//
	// The wait is probeIntervalPerHost times the number of hosts that share the limit, at
	// least minProbeInterval and at most maxProbeInterval, plus a jitter of up to the same
	// time that depends on host and upstream. Below the maximum, all hosts together
	// therefore send less than one probe per probeIntervalPerHost.
	probeIntervalPerHost = 10 * time.Second
	minProbeInterval     = 30 * time.Second
	maxProbeInterval     = 10 * time.Minute
	// deregisteredRetention is how long the notices of a run are kept after the run was
	// last registered. A run that registers again within this time is the same run
	// (package upstream).
	deregisteredRetention = time.Minute
	// endedLimitRetention is how long a limit that has ended is kept, so that other hosts
	// learn of its end.
	endedLimitRetention = 10 * time.Second
)

// Shares divides limits among the hosts.
type Shares interface {
	// LimitShare returns this host's share of the tokens of an upstream's limit. The
	// shares of all hosts add up to no more than tokens.
	LimitShare(id, region string, tokens int) Share
}

// Share is a host's share of a limit.
type Share struct {
	// Tokens is the number of tokens of this host.
	Tokens int
	// Hosts is the number of hosts that share the limit, including those without tokens.
	Hosts int
}

// Observer is notified of changes of the notices in force. Its methods are called without
// the table's lock.
type Observer interface {
	// LimitChanged means that an upstream has announced a limit, in requests per second,
	// that is new or differs from the previous one.
	LimitChanged(run upstream.Run, perSecond float64)
	// LeavingAnnounced means that an upstream is leaving.
	LeavingAnnounced(run upstream.Run)
	// BackoffRequested means that an upstream wants no request from this host for a time.
	BackoffRequested(run upstream.Run, d time.Duration)
	// LimitEnded means that an upstream has no limit any more.
	LimitEnded(run upstream.Run)
}

// Table holds the notices that are in force at one host. It is safe for concurrent use.
type Table struct {
	host     string
	shares   Shares
	observer Observer

	// size is the number of notices. The choice of an upstream reads it without the lock.
	size   atomic.Int32
	mu     sync.Mutex
	limits map[upstream.Run]*limit
	// leaving has the runs that are leaving.
	leaving map[upstream.Run]*leavingRun
	// backoffUntil is the time until which each run wants no request from this host.
	// backoffElsewhereUntil is the same for any other host, and does not bind this host.
	backoffUntil, backoffElsewhereUntil map[upstream.Run]time.Time
}

// NewTable returns an empty table for the named host.
func NewTable(host string, shares Shares, observer Observer) *Table {
	return &Table{host: host, shares: shares, observer: observer, limits: map[upstream.Run]*limit{}, leaving: map[upstream.Run]*leavingRun{}, backoffUntil: map[upstream.Run]time.Time{}, backoffElsewhereUntil: map[upstream.Run]time.Time{}}
}

// updateSize sets size to the number of notices; t.mu is held.
func (t *Table) updateSize() {
	t.size.Store(int32(len(t.limits) + len(t.leaving) + len(t.backoffUntil) + len(t.backoffElsewhereUntil)))
}

// Observe applies the notice in a run's response to a request that was sent at the given
// time.
//
// A lower limit is in force at once. A higher limit, or the end of a limit, is applied only
// if the request was sent after the current limit was last reported. Responses overtake
// each other, and a delayed response may carry an outdated limit.
func (t *Table) Observe(run upstream.Run, n Notice, sent, now time.Time) {
	if n.Leaving {
		t.markLeaving(run, now)
	}
	if n.Backoff > 0 {
		t.setBackoff(run, n.Backoff, now)
	}
	if n.Limit.presence == malformed || n.Limit.presence == absent && t.size.Load() == 0 {
		return
	}
	t.mu.Lock()
	notify := t.observeLimit(run, n.Limit, sent, now)
	t.mu.Unlock()
	notify()
}

// observeLimit applies the limit in a response; t.mu is held. The caller calls notify after
// it has released t.mu.
func (t *Table) observeLimit(run upstream.Run, announced Limit, sent, now time.Time) (notify func()) {
	l := t.limits[run]
	limited := l != nil && !l.ended
	later := l == nil || sent.After(l.reportedAt)
	switch {
	case announced.presence == absent && limited && later:
		l.end(now, now)
		return func() { t.observer.LimitEnded(run) }
	case announced.presence == absent, !later && l.ended, !later && announced.perSecond > l.perSecond:
		return func() {}
	}
	return t.put(run, announced.perSecond, now, now)
}

// put puts a limit in force that the upstream reported at a given time; t.mu is held. The
// caller calls notify after it has released t.mu.
func (t *Table) put(run upstream.Run, perSecond float64, reportedAt, now time.Time) (notify func()) {
	l := t.limits[run]
	if l == nil {
		l = &limit{filledAt: now, lastRegistered: now}
		t.limits[run] = l
		t.updateSize()
	}
	changed := l.ended || l.reportedAt.IsZero() || l.perSecond != perSecond
	l.set(perSecond, reportedAt, now)
	if !changed {
		return func() {}
	}
	return func() { t.observer.LimitChanged(run, perSecond) }
}

// Withheld is the reason why an upstream receives no request now. Of the reasons Leaving,
// BackingOff and the limit, only the first that applies is set.
type Withheld struct {
	// Upstream is the upstream's id; empty if the upstream may receive a request.
	Upstream string
	// Leaving is set if the upstream is leaving, and BackingOff if it wants no request for a
	// time. The fields of the limit are zero in both cases.
	Leaving, BackingOff bool
	// PerSecond is the limit. Share is this host's share of its Tokens.
	PerSecond     float64
	Share, Tokens int
	// For is the time for which this host sends nothing to the upstream; negative if
	// unknown.
	For time.Duration
}

// Withheld returns why an upstream receives no request now; the zero value if the upstream
// may receive one.
func (t *Table) Withheld(u *upstream.Upstream, now time.Time) Withheld {
	if t.size.Load() == 0 {
		return Withheld{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, leaving := t.leaving[u.Run()]; leaving {
		return Withheld{Upstream: u.ID, Leaving: true, For: -1}
	}
	if left := t.backoffUntil[u.Run()].Sub(now); left > 0 {
		return Withheld{Upstream: u.ID, BackingOff: true, For: left}
	}
	l := t.inForce(u.Run())
	if l == nil {
		return Withheld{}
	}
	l.fill(now, func(tokens int) Share { return t.shares.LimitShare(u.ID, u.Region, tokens) })
	wait := l.untilNext()
	if wait == 0 || t.mayProbe(u.Run(), l, now) {
		return Withheld{}
	}
	return Withheld{Upstream: u.ID, PerSecond: l.perSecond, Share: l.share.Tokens, Tokens: totalTokens(l.perSecond), For: wait}
}

// MaySend reports whether a request for which an upstream was chosen may still be sent. The
// request may have waited since the choice, for a connection or for CPU time.
func (t *Table) MaySend(u *upstream.Upstream, now time.Time) bool {
	if t.size.Load() == 0 {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	_, leaving := t.leaving[u.Run()]
	return !leaving && !now.Before(t.backoffUntil[u.Run()])
}

// Take takes a token for a request to an upstream that Withheld allowed. If there is none,
// the request is a probe.
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
		l.probedAt = now
		return
	}
	l.level--
}

// inForce returns the limit of a run; nil if the run has none; t.mu is held.
func (t *Table) inForce(run upstream.Run) *limit {
	l := t.limits[run]
	if l == nil || l.ended {
		return nil
	}
	return l
}

// mayProbe reports whether a request may be sent without a token to find out whether the
// limit is still in force.
func (t *Table) mayProbe(run upstream.Run, l *limit, now time.Time) bool {
	interval := min(max(minProbeInterval, time.Duration(l.share.Hosts)*probeIntervalPerHost), maxProbeInterval)
	h := fnv.New32a()
	_, _ = h.Write([]byte(t.host + " " + string(run))) // a hash returns no error
	interval += time.Duration(h.Sum32()%uint32(interval/time.Millisecond)) * time.Millisecond
	return now.Sub(l.reportedAt) >= interval && now.Sub(l.probedAt) >= interval
}

// Limits returns the number of limits in force.
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

// Suspended accounts for the time for which the machine was suspended: reports and probes
// become older by it. No tokens accrue for it.
func (t *Table) Suspended(gap time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.limits {
		l.reportedAt = l.reportedAt.Add(-gap)
		l.probedAt = l.probedAt.Add(-gap)
	}
}

// Retain drops the notices of runs that keep has rejected for deregisteredRetention, limits
// that ended endedLimitRetention ago, and backoffs that are over.
func (t *Table) Retain(keep func(upstream.Run) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	deregistered := func(run upstream.Run, lastRegistered *time.Time) bool {
		if keep(run) {
			*lastRegistered = now
		}
		return now.Sub(*lastRegistered) >= deregisteredRetention
	}
	maps.DeleteFunc(t.leaving, func(run upstream.Run, l *leavingRun) bool { return deregistered(run, &l.lastRegistered) })
	maps.DeleteFunc(t.limits, func(run upstream.Run, l *limit) bool {
		return deregistered(run, &l.lastRegistered) || l.ended && now.Sub(l.reportedAt) >= endedLimitRetention
	})
	over := func(_ upstream.Run, until time.Time) bool { return !now.Before(until) }
	maps.DeleteFunc(t.backoffUntil, over)
	maps.DeleteFunc(t.backoffElsewhereUntil, over)
	t.updateSize()
}
