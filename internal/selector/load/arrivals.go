package load

import (
	"bytes"
	"context"
	"math"
	"time"

	"cairndock/internal/pause"
)

// dueAt returns when request i of a class is due, as the time since the start of
// the load. The rate rises linearly over the ramp and is constant afterwards.
func dueAt(c Class, i int) time.Duration {
	ramp := c.Ramp.Seconds()
	inRamp := c.Rate * ramp / 2
	n := float64(i)
	if n < inRamp {
		return time.Duration(math.Sqrt(2*n*ramp/c.Rate) * float64(time.Second))
	}
	return time.Duration((ramp + (n-inRamp)/c.Rate) * float64(time.Second))
}

// sendArrivals sends a class's requests when they are due, until arrivalsCtx is
// done. It does not wait for earlier requests (open loop). ctx is the context of
// the requests.
func (r *run) sendArrivals(arrivalsCtx, ctx context.Context, cr *classRun) {
	start := time.Now()
	for i := 0; ; i++ {
		due := start.Add(dueAt(cr.class, i))
		if d := time.Until(due); d > 0 {
			pause.For(arrivalsCtx, d)
		}
		if arrivalsCtx.Err() != nil {
			return
		}
		select {
		case r.outstanding <- struct{}{}:
		default:
			r.skipped.Add(1)
			continue
		}
		r.requests.Go(func() {
			defer func() { <-r.outstanding }()
			r.sendOne(ctx, cr, i, due)
		})
	}
}

// sendOne sends request i of a class and records its outcome, with the latency
// since due.
func (r *run) sendOne(ctx context.Context, cr *classRun, i int, due time.Time) {
	hosts := *r.hosts.Load()
	host := hosts[i%min(len(hosts), nearestHosts)]
	ticket := ""
	if cr.class.Ticket {
		ticket = r.takeTicket(ctx, host, cr.class.Service)
	}
	last := r.send(ctx, host, cr.class, i, ticket)
	if cr.class.Resend && ticket != "" {
		resent := r.send(ctx, hosts[(i+1)%len(hosts)], cr.class, i, ticket)
		if last.verdict == responded && resent.verdict == responded && !bytes.Equal(last.body, resent.body) {
			r.wrongResponses.Add(1)
		}
		last = resent
	}
	if ticket != "" {
		r.mu.Lock()
		r.verdicts[ticket] = last.verdict
		r.mu.Unlock()
	}
	cr.record(last, time.Since(due))
}
