package proxy

import (
	"context"
	"time"

	"cairndock/internal/pause"
)

// With these values, simulated days on which all hosts stop and start in turn had no
// aborted requests (testdata/days/roll-term.toml).
const (
	// drainFraction is the fraction of the grace period during which new requests are
	// still served, because clients cache the directory's response for its TTL. With the
	// defaults it is 0.45 * 6 s = 2.7 s, above the TTL of 2 s.
	drainFraction = 0.45
	// exitMargin is the time from the abort to the end of the grace period. During the
	// last sixth of the grace period, 1 s by default, the platform does not count a
	// request as cut whose upstream is still processing it.
	exitMargin = 400 * time.Millisecond
	// abortGrace is the share of exitMargin for writing the error responses. The rest is
	// for the process to exit.
	abortGrace = 150 * time.Millisecond
	// otherServersGrace is the share of exitMargin for completing the responses of the
	// other listeners. A directory lookup takes some milliseconds.
	otherServersGrace = 100 * time.Millisecond
)

// Stop takes the host out of service within the grace period, the time from SIGTERM to
// SIGKILL, and returns the number of requests that it had to abort. The steps and when
// they begin:
//
//	at once                 Leave: not ready, connections close after a response;
//	                        new requests are still served
//	after drainFraction     no new connections, idle connections are closed;
//	of the grace period     requests in flight are completed
//	exitMargin before       abort: requests still in flight get an error response
//	its end                 that says whether they may have run
//	abortGrace later        the process may exit
//
// The last two steps end early when no request is in flight.
func (s *Server) Stop(ctx context.Context, grace time.Duration) int64 {
	began := time.Now()
	s.proxy.Leave()
	pause.For(ctx, time.Duration(drainFraction*float64(grace)))

	served, cancel := context.WithDeadline(ctx, began.Add(grace-exitMargin))
	defer cancel()
	aborted := int64(0)
	if s.clients.Drain(served) != nil || s.proxy.awaitIdle(served) != nil {
		aborted = s.abort(ctx)
	}
	ctx, cancel = context.WithTimeout(ctx, otherServersGrace)
	defer cancel()
	s.drainOtherServers(ctx)
	return aborted
}

// idlePollInterval is how often awaitIdle checks the number of requests in flight.
const idlePollInterval = 5 * time.Millisecond

// awaitIdle waits until no request is in flight, including those of other hosts.
func (p *Proxy) awaitIdle(ctx context.Context) error {
	for p.InFlight() > 0 {
		if !pause.For(ctx, idlePollInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// abort ends the requests in flight with error responses, and returns their number. It
// waits even if the number is zero, because a request may have been read but not counted
// yet, or its response may not be completely written.
func (s *Server) abort(ctx context.Context) int64 {
	aborted := s.proxy.InFlight()
	s.proxy.abort()
	ctx, cancel := context.WithTimeout(ctx, abortGrace)
	defer cancel()
	_ = s.clients.Drain(ctx)   // Close ends connections whose response has not been taken
	_ = s.proxy.awaitIdle(ctx) // the end of the process ends the requests of other hosts
	return aborted
}
