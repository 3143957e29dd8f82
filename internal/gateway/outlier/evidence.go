package outlier

import (
	"time"

	"cairndock/internal/gateway/upstream"
)

const (
	// evidenceWindow is the time over which failures and successes count.
	evidenceWindow = 1600 * time.Millisecond
	// minFailures is how many failures in a window it takes to eject an
	// upstream.
	minFailures = 3
	// maxSuccessRatio is how many successes for each failure an ejected
	// upstream may have in the window: 1.5 is a failure rate of 0.4.
	maxSuccessRatio = 1.5
	// firstEjection is how long an upstream is ejected at first; it doubles
	// with each ejection that follows soon.
	firstEjection = 2 * time.Second
	// maxEjection bounds that doubling.
	maxEjection = 8 * time.Second
	// forgiveAfter is how long after an ejection's end the next one counts
	// as the first again.
	forgiveAfter = 5 * time.Second
)

// Observation is what one host saw of an upstream in the last window.
type Observation struct {
	// Upstream is the run that was seen: an observation that arrives after a
	// restart says nothing of the next one.
	Upstream  upstream.Run `msgpack:"u"`
	Failures  int          `msgpack:"b"`
	Successes int          `msgpack:"g,omitempty"`
}

// Ejection is the evidence for which an upstream is ejected.
type Ejection struct {
	Upstream  upstream.Run
	Failures  int
	Successes int
	// Hosts is how many hosts saw failures.
	Hosts int
	// For is how long the upstream is ejected.
	For time.Duration
}

// evidence is what the region's hosts saw of one upstream.
type evidence struct {
	own   counter
	peers map[string]peerReport // by host

	ejectedUntil time.Time
	// lastEjection is how long the last ejection was; zero before the first.
	lastEjection time.Duration
}

// peerReport is another host's observation and when it was received.
type peerReport struct {
	failures, successes int
	at                  time.Time
}

// merge adds another host's observation, unless the upstream is ejected: what
// led to an ejection must not count again after it.
func (e *evidence) merge(host string, o Observation, now time.Time) {
	if now.Before(e.ejectedUntil) {
		return
	}
	if e.peers == nil {
		e.peers = map[string]peerReport{}
	}
	e.peers[host] = peerReport{failures: o.Failures, successes: o.Successes, at: now}
}

// failingAtPeer reports whether another host saw failures lately.
func (e *evidence) failingAtPeer(now time.Time) bool {
	for _, r := range e.peers {
		if r.failures > 0 && now.Sub(r.at) < evidenceWindow {
			return true
		}
	}
	return false
}

// evaluate adds up the evidence of all hosts, and ejects the upstream if it
// suffices and it is not ejected already.
func (e *evidence) evaluate(run upstream.Run, now time.Time) (Ejection, bool) {
	if now.Before(e.ejectedUntil) {
		return Ejection{}, false
	}
	total := e.total(now)
	if !isOutlier(total.Failures, total.Successes) {
		return Ejection{}, false
	}
	e.eject(now)
	total.Upstream, total.For = run, e.lastEjection
	return total, true
}

// total sums the evidence within the window and drops what is older.
func (e *evidence) total(now time.Time) Ejection {
	var sum Ejection
	sum.Failures, sum.Successes = e.own.count(now)
	if sum.Failures > 0 {
		sum.Hosts = 1
	}
	for host, r := range e.peers {
		if now.Sub(r.at) >= evidenceWindow {
			delete(e.peers, host)
			continue
		}
		sum.Failures += r.failures
		sum.Successes += r.successes
		if r.failures > 0 {
			sum.Hosts++
		}
	}
	return sum
}

// isOutlier decides whether an upstream with so many failures and successes in
// a window is ejected.
func isOutlier(failures, successes int) bool {
	return failures >= minFailures && float64(successes) <= maxSuccessRatio*float64(failures)
}

// eject ejects the upstream from now on and forgets the evidence, which must
// not count again.
func (e *evidence) eject(now time.Time) {
	e.lastEjection = nextEjection(e.lastEjection, now.Sub(e.ejectedUntil))
	e.ejectedUntil = now.Add(e.lastEjection)
	e.own = counter{}
	clear(e.peers)
}

// nextEjection returns how long an upstream is ejected, after a last ejection
// of that length (zero: none) that ended a time ago.
func nextEjection(last, ended time.Duration) time.Duration {
	if last == 0 || ended >= forgiveAfter {
		return firstEjection
	}
	return min(2*last, maxEjection)
}
