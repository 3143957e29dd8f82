package slot

import (
	"math"
	"time"
)

const (
	// reportAge is the age at which an upstream's report of its load no longer
	// counts.
	reportAge = 5 * time.Second
	// reportWeight is how much a fresh report of full load worsens an
	// upstream's score: it doubles it at most, so that a wrong report can't
	// outweigh what the host sees itself.
	reportWeight = 1.0
	// unknownLatency stands for an upstream's latency, in seconds, before its
	// first success. It is below what upstreams take, so that a new one is
	// tried.
	unknownLatency = 1e-3
)

// choose gives the upstream of a rule that a request goes to, nil when none has
// a slot that may be used: the one with the lowest score. All upstreams may be
// ejected at once: the requests of a failing rule would else use up the retries of the
// service's other rules.
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

// score ranks an upstream for one request more, in seconds; lower is better: its
// latency for each request outstanding, by its concurrency limit. The load that
// it reported worsens the score, less as the report ages.
func (u *upstream) score(now int64) float64 {
	latency := u.latency
	if latency == 0 {
		latency = unknownLatency
	}
	score := latency * float64(u.outstanding+1) / u.limit
	age := time.Duration(now - u.reportedAt)
	if u.reported > 0 && age < reportAge {
		fresh := 1 - float64(age)/float64(reportAge)
		score *= 1 + reportWeight*u.reported*fresh
	}
	return score
}
