package rollout

import "time"

const (
	// slowFactor is the multiple of the other versions' typical latency from which on a
	// response is slow. Bad versions are several times slower.
	slowFactor = 2
	// newObjectFactor is the factor while requests for new objects go to the target. The
	// first response for an object takes longer than the others.
	newObjectFactor = 3.5
	// minSlowThreshold is the minimum threshold. Below it, the network and the load of
	// this host decide the latency.
	minSlowThreshold = 50 * time.Millisecond
	// settleTime is how long requests for new objects go to the target after its fraction
	// has changed.
	settleTime = 2 * time.Second
)

// slowThreshold returns the latency from which on a response counts as slow, or zero if the
// latencies of the other versions are not known.
func slowThreshold(others Histogram, factor float64) time.Duration {
	typical := others.quantile(0.5)
	if typical == 0 {
		return 0
	}
	return max(minSlowThreshold, time.Duration(factor*float64(typical)))
}

// slowThresholds returns the latency from which on a response of each route is slow.
func slowThresholds(e Evidence, r Record, clock int64) map[string]time.Duration {
	factor := float64(slowFactor)
	if r.Phase != Canary || after(r.ChangedAt, clock) < settleTime {
		factor = newObjectFactor
	}
	slow := make(map[string]time.Duration, len(e.Routes))
	for route, evidence := range e.Routes {
		if threshold := slowThreshold(evidence.Others.Latency, factor); threshold > 0 {
			slow[route] = threshold
		}
	}
	return slow
}
