package rollout

import "time"

// Order is an operator's request to move the traffic of a service to a version.
type Order struct {
	Service string `json:"service"`
	// Target is the software version that shall get the traffic.
	Target string `json:"target"`
	// Duration is the time within which the roll-out shall end.
	Duration time.Duration `json:"duration_ns"`
	// Version is the version number of the order's row in the store. A row that is
	// written again is another order, even if its value is the same.
	Version int64 `json:"order"`
}

// isSame reports whether two orders are the same one.
func (o Order) isSame(other Order) bool {
	return o.Service == other.Service && o.Target == other.Target && o.Version == other.Version
}

// Limits bound what an unproved version may get.
type Limits struct {
	// Fraction is the maximum fraction of a service's requests that a bad version may
	// get from the order to the end of its duration, and Slack the number of requests
	// that it may get in addition.
	Fraction, Slack float64
}

// budget returns how many of the given number of requests a bad version may get.
func (l Limits) budget(requests float64) float64 { return l.Fraction*requests + l.Slack }
