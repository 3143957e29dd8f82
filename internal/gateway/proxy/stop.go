package proxy

import (
	"context"
	"time"

	"cairndock/internal/pause"
)

// With these figures no rule was broken on the days roll-term of both sites
// (worth 0.826 and 0.758, commit 851740f).
const (
	// drainPart is the part of the grace period in which new requests are still
	// served: clients keep the directory's response for its TTL. With the
	// defaults it is 0.45 * 6 s = 2.7 s, above the TTL of 2 s. Chosen, not
	// measured against other values.
	drainPart = 0.45
	// exitMargin is the time from the abort to the end of the grace period. In
	// the last sixth of it, 1 s by default, the platform does not count a request
	// as cut whose upstream is still at work. Chosen, not measured against other
	// values.
	exitMargin = 400 * time.Millisecond
	// abortGrace is the part of exitMargin in which the error responses are
	// written; the rest is for the process to exit. Chosen, not measured against
	// other values.
	abortGrace = 150 * time.Millisecond
	// exitPoll is how often a stopping host checks whether requests are in
	// flight. It delays the exit by as much; chosen, not measured.
	exitPoll = 20 * time.Millisecond
)

// Stop takes the host out of service within the grace period, the time from
// SIGTERM to SIGKILL, and returns the number of requests that it had to abort:
//
//	0                    Drain: not ready, connections close after a response;
//	                     new requests are still served
//	drainPart of it      Shutdown: no new connections, idle ones are closed;
//	                     requests in flight are served to their end
//	exitMargin before    abort: requests still in flight get an error response
//	its end              that says whether they may have run
//	abortGrace later     the process may exit
//
// The last two steps end early when no request is in flight.
func (s *Server) Stop(ctx context.Context, grace time.Duration) int64 {
	began := time.Now()
	s.proxy.Drain()
	pause.For(ctx, time.Duration(drainPart*float64(grace)))

	ctx, cancel := context.WithDeadline(ctx, began.Add(grace-exitMargin))
	defer cancel()
	// Its errors are the context's end, after which waitIdle returns and the
	// abort follows, and a listener that is closed already.
	_ = s.clients.Shutdown(ctx)
	s.waitIdle(ctx)

	aborted := s.proxy.InFlight()
	if aborted == 0 {
		return 0
	}
	s.proxy.abort()
	ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), abortGrace)
	defer cancel()
	s.waitIdle(ctx)
	return aborted
}

// waitIdle waits until no request is in flight.
func (s *Server) waitIdle(ctx context.Context) {
	for s.proxy.InFlight() > 0 && ctx.Err() == nil {
		pause.For(ctx, exitPoll)
	}
}
