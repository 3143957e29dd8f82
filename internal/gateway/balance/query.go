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

// Query is one request for which an upstream is sought.
type Query struct {
	// Key is the object that the request is about, or any value that spreads
	// requests.
	Key string
	// NoAffinity means that an upstream that served the key lately is no
	// faster on it.
	NoAffinity bool
	// Upstreams are those of the service. The list is not changed once a query has
	// it, as summaries are kept by list.
	Upstreams []*upstream.Upstream
	// Allows reports whether the request may be served in a region; nil
	// allows all.
	Allows func(region string) bool
	// Reserved gives, by region, the part of the requests for all services that may be
	// served there only, from 0 to 1. It counts for requests that may be served
	// anywhere. The map is not changed.
	Reserved map[string]float64
	// Bulk means that the response is large.
	Bulk bool
	// Mixed means that the service has both large and small responses.
	Mixed bool
	// Priority orders requests under overload; 0 is the most urgent.
	Priority int
	// Tried are the ids of the upstreams that earlier attempts were sent to.
	Tried []string
	// Refused are those of them that refused the connection, and Unanswered those that did
	// not answer it in time.
	Refused, Unanswered []*upstream.Upstream
	// WarmUpRate is how many requests a second a cold upstream bears from all
	// hosts together.
	WarmUpRate float64
	Now        time.Time
}

func (q Query) allows(region string) bool { return q.Allows == nil || q.Allows(region) }

// Choice is the upstream chosen, with what decided it.
type Choice struct {
	Upstream *upstream.Upstream
	// Load is the upstream's estimated load, in its capacities.
	Load float64
	// LoadAge is the age of the upstream's last load report; negative when
	// there is none.
	LoadAge time.Duration
	// Rank is how many upstreams come before it in the request's order.
	Rank int
	// Cold means that the upstream is warming up.
	Cold bool
	// WarmUp is the host's use of its quota there; zero unless the upstream is
	// cold.
	WarmUp WarmUp
	// Withheld says which upstreams were passed over for what they say.
	Withheld Withheld

	// send counts the request against the quota; nil unless it was chosen.
	send *warmup.Send
}

// WarmUp is a host's use of its quota at a cold upstream.
type WarmUp struct {
	Quota warmup.Quota
	// Sent is how many requests count against it that the upstream was chosen
	// for while it counted as cold, this one included.
	Sent int
	// SentWarm is how many count besides.
	SentWarm int
}

// Reason is the outcome of a choice: Chosen, or why the request is rejected.
type Reason uint8

const (
	// Chosen means that the request goes to the upstream chosen.
	Chosen Reason = iota
	// NoUpstream means that no upstream may serve the request, or that all
	// that may were tried.
	NoUpstream
	// Overloaded means that all upstreams considered, which are the key's
	// preference list or, without affinity, all that may serve the request,
	// are at or above the load from which they take none of its priority.
	Overloaded
	// WarmUpLimited means that each upstream considered that is not
	// overloaded is cold, and that this host has used its quota there.
	WarmUpLimited
	// Withholding means that all upstreams that may serve the request say that they take
	// none now.
	Withholding
)
