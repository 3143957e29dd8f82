package outlier

import (
	"time"

	"cairndock/internal/gateway/upstream"
)

const (
	// evidenceWindow is the period over which failures and successes are
	// counted.
	evidenceWindow = 1600 * time.Millisecond
	// minFailures is the number of failures within the window that is required
	// to eject an upstream.
	minFailures = 3
	// maxSuccessRatio is the maximum number of successes per failure within the
	// window at which an upstream is ejected: 1.5 is a failure rate of 0.4.
	maxSuccessRatio = 1.5
	// initialEjectionPeriod is the length of the first ejection of an upstream.
	// It doubles with each ejection that follows within ejectionResetDelay.
	initialEjectionPeriod = 2 * time.Second
	// maxEjectionPeriod limits the doubling.
	maxEjectionPeriod = 8 * time.Second
	// ejectionResetDelay is the time after the end of an ejection from which the
	// next ejection has the initial length again.
	ejectionResetDelay = 5 * time.Second
)

// Observation is the number of failures and successes that one host counted at
// an upstream within the last window.
type Observation struct {
	// Upstream is the observed run. An observation that arrives after a restart
	// must not affect the next run.
	Upstream  upstream.Run `msgpack:"u"`
	Failures  int          `msgpack:"b"`
	Successes int          `msgpack:"g,omitempty"`
}

// Ejection is a decision to eject an upstream, with the evidence for it.
type Ejection struct {
	Upstream  upstream.Run
	Failures  int
	Successes int
	// Hosts is the number of hosts that observed failures.
	Hosts int
	// Period is the length of the ejection.
	Period time.Duration
}

// evidence is the failures and successes that the hosts of the region observed
// at one upstream.
type evidence struct {
	own   counter
	peers map[string]peerReport // by host

	ejectedUntil time.Time
	// lastPeriod is the length of the last ejection. It is zero before the first.
	lastPeriod time.Duration
}

// peerReport is an observation of another host with the time of its receipt.
type peerReport struct {
	failures, successes int
	receivedAt          time.Time
}

// merge stores the observation of another host. Observations that arrive during
// an ejection are ignored, because the evidence that led to the ejection must
// not be counted again after it.
func (e *evidence) merge(host string, o Observation, now time.Time) {
	if now.Before(e.ejectedUntil) {
		return
	}
	if e.peers == nil {
		e.peers = map[string]peerReport{}
	}
	e.peers[host] = peerReport{failures: o.Failures, successes: o.Successes, receivedAt: now}
}

// failingAtPeer reports whether another host observed failures within the
// window.
func (e *evidence) failingAtPeer(now time.Time) bool {
	for _, r := range e.peers {
		if r.failures > 0 && now.Sub(r.receivedAt) < evidenceWindow {
			return true
		}
	}
	return false
}

// evaluate sums up the evidence of all hosts, and ejects the upstream if the
// evidence suffices and the upstream is not ejected already.
func (e *evidence) evaluate(run upstream.Run, now time.Time) (Ejection, bool) {
	if now.Before(e.ejectedUntil) {
		return Ejection{}, false
	}
	total := e.total(now)
	if !isOutlier(total.Failures, total.Successes) {
		return Ejection{}, false
	}
	e.eject(now)
	total.Upstream, total.Period = run, e.lastPeriod
	return total, true
}

// total sums up the evidence within the window and drops older evidence.
func (e *evidence) total(now time.Time) Ejection {
	var sum Ejection
	sum.Failures, sum.Successes = e.own.count(now)
	if sum.Failures > 0 {
		sum.Hosts = 1
	}
	for host, r := range e.peers {
		if now.Sub(r.receivedAt) >= evidenceWindow {
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

// isOutlier reports whether the number of failures and successes within a window
// is sufficient to eject the upstream.
func isOutlier(failures, successes int) bool {
	return failures >= minFailures && float64(successes) <= maxSuccessRatio*float64(failures)
}

// eject ejects the upstream from now on and clears the evidence, which must not
// be counted again.
func (e *evidence) eject(now time.Time) {
	e.lastPeriod = nextEjectionPeriod(e.lastPeriod, now.Sub(e.ejectedUntil))
	e.ejectedUntil = now.Add(e.lastPeriod)
	e.own = counter{}
	clear(e.peers)
}

// nextEjectionPeriod returns the length of the next ejection of an upstream. The
// parameter last is the length of the previous ejection (zero: none), and
// sinceEnd is the time since its end.
func nextEjectionPeriod(last, sinceEnd time.Duration) time.Duration {
	if last == 0 || sinceEnd >= ejectionResetDelay {
		return initialEjectionPeriod
	}
	return min(2*last, maxEjectionPeriod)
}
