package slot

import (
	"math"
	"time"
)

const (
	// reportTTL is the age at which an upstream's load report is no longer used.
	reportTTL = 5 * time.Second
	// reportWeight is the fraction by which a fresh report of full load increases
	// an upstream's score. The report at most doubles the score, so that a wrong
	// report cannot outweigh the host's own observations.
	reportWeight = 1.0
	// unknownLatencySeconds is assumed for an upstream before its first success.
	// It is below the usual latency of upstreams, so that a new upstream is tried.
	unknownLatencySeconds = 1e-3
)

// choose returns the available upstream with the lowest score, or nil if no
// upstream has a slot that may be used. All upstreams may be ejected at the same
// time, because otherwise the requests of a failing rule would use up the retries
// of the service's other rules.
func choose(upstreams []*upstream, now int64) *upstream {
	var best *upstream
	bestScore := math.MaxFloat64
	for _, u := range upstreams {
		if !u.available(now) {
			continue
		}
		if score := u.score(now); score < bestScore {
			best, bestScore = u, score
		}
	}
	return best
}

// available reports whether a new request may go to the upstream.
func (u *upstream) available(now int64) bool {
	return !u.leaving && u.outstanding < u.usable() && !u.ejected(now)
}

// score returns the score of an upstream for one more request, in seconds; lower
// is better. The score is the upstream's latency times the number of outstanding
// requests, including the new one, divided by its concurrency limit. A reported
// load increases the score; the effect decreases with the age of the report.
func (u *upstream) score(now int64) float64 {
	latency := u.latency
	if latency == 0 {
		latency = unknownLatencySeconds
	}
	score := latency * float64(u.outstanding+1) / u.limit
	age := time.Duration(now - u.reportedAt)
	if u.reported > 0 && age < reportTTL {
		fresh := 1 - float64(age)/float64(reportTTL)
		score *= 1 + reportWeight*u.reported*fresh
	}
	return score
}
