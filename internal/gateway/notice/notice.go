package notice

import "time"

// Notice is the announcement that an upstream makes in one response.
type Notice struct {
	// Leaving means that the upstream takes no new work and will end. It stays set for the
	// rest of the run.
	Leaving bool
	// Backoff is the time for which the upstream wants no request from this host; zero is
	// none. Only a refusal carries it.
	Backoff time.Duration
	// Limit is the maximum rate of requests that the upstream takes from all hosts
	// together.
	Limit Limit
}

// Limit is the limit announced in a response. The zero value is a response without a
// limit: the upstream has none any more.
type Limit struct {
	presence  presence
	perSecond float64
}

// presence states whether a response contains a limit.
type presence uint8

const (
	absent presence = iota
	present
	malformed
)

// LimitOf is a limit in requests per second, which must not be negative.
func LimitOf(perSecond float64) Limit { return Limit{presence: present, perSecond: perSecond} }

// MalformedLimit is a limit that cannot be parsed. It changes nothing: the previous limit
// stays in force.
func MalformedLimit() Limit { return Limit{presence: malformed} }

// WithLeaving returns the notice with Leaving set.
func (n Notice) WithLeaving() Notice {
	n.Leaving = true
	return n
}

// WithBackoff returns the notice of an upstream that wants no request for a time.
func (n Notice) WithBackoff(d time.Duration) Notice {
	n.Backoff = d
	return n
}

// WithLimit returns the notice with a limit.
func (n Notice) WithLimit(l Limit) Notice {
	n.Limit = l
	return n
}
