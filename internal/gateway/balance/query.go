package balance

import (
	"time"

	"cairndock/internal/gateway/upstream"
	"cairndock/internal/gateway/warmup"
)

// Location is where a host runs.
type Location struct {
	Zone   string
	Region string
	// Regions is the number of regions of the deployment.
	Regions int
}

// Query describes a request that needs an upstream.
type Query struct {
	// Key is the object that the request is about, or any value that spreads requests.
	Key string
	// NoAffinity means that an upstream that served the key recently is no faster on it.
	NoAffinity bool
	// Upstreams are the upstreams of the service. The list must not change once it is in a
	// query, because summaries are cached by list.
	Upstreams []*upstream.Upstream
	// Allows reports whether the request may be served in a region; nil allows all
	// regions.
	Allows func(region string) bool
	// Reserved is, by region, the fraction (0 to 1) of the requests to all services
	// that may be served only there. It applies to requests that may be served anywhere.
	// The map must not change.
	Reserved map[string]float64
	// Bulk means that the response is large.
	Bulk bool
	// MeanBytes is the mean size of the requests and responses of the route, without their
	// headers; zero if it is not known.
	MeanBytes float64
	// Mixed means that the service has both large and small responses.
	Mixed bool
	// Priority orders requests under overload; 0 is the most urgent.
	Priority int
	// Tried are the IDs of the upstreams that earlier attempts were sent to.
	Tried []string
	// Refused are those of the tried upstreams that refused the connection. Unanswered are
	// those to which the connection timed out.
	Refused, Unanswered []*upstream.Upstream
	// WarmUpRate is the rate of requests per second that a cold upstream can serve from
	// all hosts together.
	WarmUpRate float64
	Now        time.Time
}

func (q Query) allows(region string) bool { return q.Allows == nil || q.Allows(region) }

// Choice is the chosen upstream, with the values that led to the choice.
type Choice struct {
	Upstream *upstream.Upstream
	// Load is the upstream's estimated load, in its capacities.
	Load float64
	// LoadAge is the age of the upstream's last load report; negative if there is none.
	LoadAge time.Duration
	// Rank is the number of upstreams that come before it in the request's order.
	Rank int
	// Cold means that the upstream is warming up.
	Cold bool
	// WarmUp is the use of the host's quota for the upstream; zero unless the upstream is
	// cold.
	WarmUp WarmUp
	// Withheld lists the upstreams that were skipped because of their own notices.
	Withheld Withheld

	// PassedOver is the upstream that would have served the request without
	// Policy.EvenLoad; nil if it is the chosen one.
	PassedOver *PassedOver

	// chosenAt is when an upstream was chosen.
	chosenAt time.Time
	// send counts the request against the quota; nil unless an upstream was chosen.
	send *warmup.Send
}

// PassedOver is an upstream that accepts a request and comes before the chosen one in its
// order, but has a higher expected load.
type PassedOver struct {
	Upstream string
	// Expected and ChosenExpected are its expected load and that of the chosen upstream, in
	// their capacities. LoadAge is the age of its last load report; negative if there is none.
	Expected, ChosenExpected float64
	LoadAge                  time.Duration
}

// WarmUp is the use of a host's quota for a cold upstream.
type WarmUp struct {
	Quota warmup.Quota
	// Sent is the number of requests counted against the quota for which the upstream was
	// chosen while it was cold, including this one.
	Sent int
	// SentWarm is the number of other requests counted against the quota.
	SentWarm int
}

// Reason is the outcome of a choice: Chosen, or why the request is rejected.
type Reason uint8

const (
	// Chosen means that the request goes to the chosen upstream.
	Chosen Reason = iota
	// NoUpstream means that no upstream may serve the request, or that all that may were
	// tried.
	NoUpstream
	// Overloaded means that all upstreams considered have reached the load from which they
	// accept no request of this priority. With affinity, these are the upstreams of the
	// key's preference list; without affinity, all that may serve the request.
	Overloaded
	// WarmUpLimited means that each upstream considered is overloaded, or is cold and this
	// host's quota for it is used up; at least one is cold.
	WarmUpLimited
	// AllWithheld means that all upstreams that may serve the request have notices in
	// force that they accept none now.
	AllWithheld
)
