package quickstart

import (
	"context"
	"time"

	"cairndock/internal/selector/load"
)

// The load that Once sends: a few hundred requests within about a second.
const (
	// onceDuration is how long requests arrive.
	onceDuration = 1200 * time.Millisecond
	// onceLookups is the rate of lookups, per second.
	onceLookups = 250
	// onceBookings is the rate of bookings, per second.
	onceBookings = 50
)

// Once sends a few hundred requests through the hosts' listeners and compares the
// verdicts with the upstreams' ledgers. The requests are lookups, and bookings
// with tickets, each of which is sent twice, through two hosts. Once returns the
// errors of load.Run.
func Once(ctx context.Context, s *System) (load.Report, error) {
	return load.Run(ctx, load.Options{
		Entry:     s.Servers[0].CallerAddr,
		Duration:  onceDuration,
		Upstreams: s.UpstreamAddrs,
		Classes:   []load.Class{load.Lookups(planning, onceLookups), load.Bookings(planning, onceBookings)},
	})
}
