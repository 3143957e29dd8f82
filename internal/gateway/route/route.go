// Package route holds one version of the operator configuration: which requests go to
// which services, and under which limits.
//
// A Table finds the route of a request (the longest path prefix for its host name), and a
// Route selects the service that serves the request (by weight). Tables are immutable.
// Package routing owns the table in force, and package platform decodes and validates the
// contents of tables.
package route

import (
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Repeat defines whether a request may run more than once.
type Repeat uint8

const (
	// Once means that a request must run at most once.
	Once Repeat = iota
	// Repeatable means that a request may run more than once.
	Repeatable
)

// Backend is a service that serves a share of a route's requests.
type Backend struct {
	// Service is the service's name.
	Service string
	// Weight is the backend's share of the route's requests, relative to the sum of the
	// weights of all backends.
	Weight int
}

// Route defines how requests for one host name and path prefix are served.
type Route struct {
	// Name identifies the route in logs and metrics.
	Name string
	// Host is the request's host name.
	Host string
	// Prefix is the beginning of the request's path. It begins and ends with a slash.
	Prefix string
	// Repeat defines whether a request may run more than once.
	Repeat Repeat
	// Backends has at least one entry.
	Backends []Backend
	// Timeout is the maximum time for which a request is processed; zero means no limit.
	Timeout time.Duration
	// Objective is the response time within which a response has its full value for the
	// client; zero means none.
	Objective time.Duration
	// Attempts is the maximum number of upstreams that one request is sent to.
	Attempts int
	// Priority orders requests under overload; 0 is the most urgent.
	Priority int
	// Bulk means that responses are large.
	Bulk bool
	// Sticky means that upstreams are faster on objects that they served recently.
	Sticky bool
	// Regions are the regions in which the route may be served; empty means any.
	Regions []string
	// Public means that requests need no account, even if accounts are configured.
	Public bool
}

// Allows reports whether the route may be served in a region.
func (r *Route) Allows(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// Pick returns the service of the backend that serves a request. The result depends only
// on the request's ID, so every host and every attempt picks the same service. Over many
// requests, each backend gets the share that its weight defines. If no backend has a
// weight, the first backend serves all requests.
func (r *Route) Pick(requestID string) string {
	if len(r.Backends) == 1 {
		return r.Backends[0].Service
	}
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	if total <= 0 {
		return r.Backends[0].Service
	}
	// The high bits of the hash decide. Package eventlog samples requests by a remainder
	// of the same hash, which is independent of the high bits.
	high, _ := bits.Mul64(xxhash.Sum64String(requestID), uint64(total))
	point := int(high)
	for _, b := range r.Backends {
		if point < b.Weight {
			return b.Service
		}
		point -= b.Weight
	}
	return r.Backends[0].Service
}
