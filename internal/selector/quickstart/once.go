package quickstart

import (
	"context"
	"net/http"
	"time"

	"cairndock/internal/selector/load"
)

// What one round of requests sends: a few hundred within a second or so.
const (
	onceDuration = 1200 * time.Millisecond
	onceLookups  = 250
	onceBookings = 50
)

// Once sends a few hundred requests through the real listeners: lookups, and
// bookings with tickets that are each sent twice, by two hosts. It reads the
// upstreams' ledgers.
func Once(ctx context.Context, s *System) (load.Report, error) {
	return load.Run(ctx, load.Options{
		Entry:     s.Servers[0].CallerAddr(),
		Duration:  onceDuration,
		Upstreams: s.UpstreamAddrs,
		Classes: []load.Class{
			{Name: "lookups", Service: Planning, Method: http.MethodGet, Path: "/tracks/%d", Rate: onceLookups, Echo: true},
			{Name: "bookings", Service: Planning, Method: http.MethodPost, Path: "/bookings", Body: "{}", Rate: onceBookings, Ticket: true, Resend: true},
		},
	})
}
