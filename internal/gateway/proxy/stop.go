package proxy

import (
	"context"
	"time"

	"cairndock/internal/pause"
)

// With these figures no request was cut on days on which all hosts stop and start in
// turn (testdata/days/roll-term.toml).
const (
	// drainPart is the part of the grace period in which new requests are still
	// served: clients keep the directory's response for its TTL. With the
	// defaults it is 0.45 * 6 s = 2.7 s, above the TTL of 2 s.
	drainPart = 0.45
	// exitMargin is the time from the abort to the end of the grace period. In
	// the last sixth of it, 1 s by default, the platform does not count a request
	// as cut whose upstream is still at work.
	exitMargin = 400 * time.Millisecond
	// abortGrace is the part of exitMargin in which the error responses are
	// written; the rest is for the process to exit.
	abortGrace = 150 * time.Millisecond
	// othersGrace is the part of exitMargin in which the responses of the other
	// listeners are finished; a look-up takes some milliseconds.
	othersGrace = 100 * time.Millisecond
)

// Stop takes the host out of service within the grace period, the time from
// SIGTERM to SIGKILL, and returns the number of requests that it had to abort:
//
//	0                    Leave: not ready, connections close after a response;
//	                     new requests are still served
//	drainPart of it      no new connections, those between requests end;
//	                     requests in flight are served to their end
//	exitMargin before    abort: requests still in flight get an error response
//	its end              that says whether they may have run
//	abortGrace later     the process may exit
//
// The last two steps end early when no request is in flight.
func (s *Server) Stop(ctx context.Context, grace time.Duration) int64 {
	began := time.Now()
	s.proxy.Leave()
	pause.For(ctx, time.Duration(drainPart*float64(grace)))

	served, cancel := context.WithDeadline(ctx, began.Add(grace-exitMargin))
	defer cancel()
	aborted := int64(0)
	if s.clients.Drain(served) != nil {
		aborted = s.abort(ctx)
	}
	ctx, cancel = context.WithTimeout(ctx, othersGrace)
	defer cancel()
	s.drainOthers(ctx)
	return aborted
}

// abort ends the requests in flight with error responses, and returns how many
// there were. It waits also without any: a request may have been read, or its
// response not be written to its end.
func (s *Server) abort(ctx context.Context) int64 {
	aborted := s.proxy.InFlight()
	s.proxy.abort()
	ctx, cancel := context.WithTimeout(ctx, abortGrace)
	defer cancel()
	_ = s.clients.Drain(ctx) // Close ends what has not taken its response
	return aborted
}
