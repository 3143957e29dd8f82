package rollout

import "time"

const (
	// slowFactor is the multiple of the other versions' typical latency from which on a
	// response is slow. Bad versions are several times slower.
	slowFactor = 2
	// repeatedFactor is the factor for requests that are known not to be the first ones for
	// their object. It is above slowFactor, because they wait behind first ones for other
	// objects at the upstreams of the canary.
	repeatedFactor = 3
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

// thresholds are the latencies from which on responses are slow, by route.
type thresholds struct {
	// Any applies to requests of which it is not known whether they are the first ones for
	// their object, Repeated to requests that are not, and First to those that may be.
	Any, Repeated, First map[string]time.Duration
}

// slowThresholds returns the thresholds for slow responses.
func slowThresholds(e Evidence, r Record, clock int64) thresholds {
	factor := float64(slowFactor)
	if r.Phase != Canary || after(r.ChangedAt, clock) < settleTime {
		factor = newObjectFactor
	}
	slow := thresholds{Any: make(map[string]time.Duration, len(e.Routes)), Repeated: make(map[string]time.Duration, len(e.Routes)), First: make(map[string]time.Duration, len(e.Routes))}
	for route, evidence := range e.Routes {
		if threshold := slowThreshold(evidence.Others.Latency, factor); threshold > 0 {
			slow.Any[route] = threshold
			slow.Repeated[route] = slowThreshold(evidence.Others.Latency, max(repeatedFactor, factor))
			slow.First[route] = slowThreshold(evidence.Others.Latency, firstLoadFactor)
		}
	}
	return slow
}
