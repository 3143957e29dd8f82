package notice

import "time"

// Notice is what one response says of its upstream.
type Notice struct {
	// Leaving means that the upstream takes no new work, and ends. Its run stays so.
	Leaving bool
	// Rest is for how long the upstream wants no request of this host; zero is none. Only a
	// refusal says it.
	Rest time.Duration
	// Limit is the requests a second that the upstream takes from all hosts together.
	Limit Limit
}

// Limit is what a response says of its upstream's limit. The zero value is a response
// without one: the upstream has none any more.
type Limit struct {
	word      word
	perSecond float64
}

// word is how clear a response is.
type word uint8

const (
	silent word = iota
	said
	unclear
)

// LimitOf is a limit of so many requests a second, which is not negative.
func LimitOf(perSecond float64) Limit { return Limit{word: said, perSecond: perSecond} }

// UnclearLimit is a limit that can't be read. It changes nothing: what was said before
// stays in force.
func UnclearLimit() Limit { return Limit{word: unclear} }

// WithLeaving returns the notice of an upstream that leaves.
func (n Notice) WithLeaving() Notice {
	n.Leaving = true
	return n
}

// WithRest returns the notice of an upstream that wants no request for a time.
func (n Notice) WithRest(d time.Duration) Notice {
	n.Rest = d
	return n
}

// WithLimit returns the notice with a limit.
func (n Notice) WithLimit(l Limit) Notice {
	n.Limit = l
	return n
}
