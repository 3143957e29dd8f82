// Package route holds one version of the operator configuration: which
// requests go to which services, and under which limits.
//
// A Table knows which route a request has (the longest path prefix of its
// host) and a Route which of its services serves it (by weight). Tables are
// immutable; package routing owns the one in force, and package platform
// decodes and checks what they are made of.
package route

import (
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Repeat says whether a request may run more than once.
type Repeat uint8

const (
	// Once is a request that must run at most once.
	Once Repeat = iota
	// Repeatable is a request that may run more than once.
	Repeatable
)

// Backend is a service that serves a part of a route's requests.
type Backend struct {
	// Service is the service's name.
	Service string
	// Weight is the backend's part of the route's requests, in proportion
	// to the weights of the others.
	Weight int
}

// Route says how requests for one host name and path prefix are served.
type Route struct {
	// Name identifies the route in logs and metrics.
	Name string
	// Host is the request's host name.
	Host string
	// Prefix is the beginning of the request's path; it begins and ends with
	// a slash.
	Prefix string
	// Repeat says whether a request may run more than once.
	Repeat Repeat
	// Backends has at least one entry.
	Backends []Backend
	// Timeout is the longest time that a request is held; zero is no limit.
	Timeout time.Duration
	// Objective is the time within which a response is worth most to the
	// client; zero is none.
	Objective time.Duration
	// Attempts bounds the upstreams that one request is sent to.
	Attempts int
	// Priority orders requests under overload; 0 is the most urgent.
	Priority int
	// Bulk means that responses are large.
	Bulk bool
	// Sticky means that upstreams work faster on objects served lately.
	Sticky bool
	// Regions are those in which the route may be served; empty is any.
	Regions []string
	// Public means that requests need no account, where accounts are configured.
	Public bool
}

// Allows reports whether the route may be served in a region.
func (r *Route) Allows(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// Pick returns the service of the backend that serves a request. It depends on
// the request's id only, so every host and every attempt picks the same one,
// and over many requests each backend gets the part that its weight gives it.
// Without any weight the first backend serves all.
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
	// The high bits of the hash decide. Package eventlog samples requests by a
	// remainder of the same hash, which says nothing of the high bits.
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
