package quickstart

import (
	"context"
	"time"

	"cairndock/internal/selector/load"
)

// The round of requests that Once sends: a few hundred within about a
// second.
const (
	// onceDuration is how long requests arrive.
	onceDuration = 1200 * time.Millisecond
	// onceLookups is the rate of lookups, per second.
	onceLookups = 250
	// onceBookings is the rate of bookings, per second.
	onceBookings = 50
)

// Once sends a few hundred requests through the hosts' listeners, lookups and
// bookings with tickets that are each sent twice by two hosts, and compares the
// verdicts with the upstreams' ledgers.
func Once(ctx context.Context, s *System) (load.Report, error) {
	return load.Run(ctx, load.Options{
		Entry:     s.Servers[0].CallerAddr,
		Duration:  onceDuration,
		Upstreams: s.UpstreamAddrs,
		Classes:   []load.Class{load.Lookups(planning, onceLookups), load.Bookings(planning, onceBookings)},
	})
}
