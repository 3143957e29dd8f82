package load

import (
	"bytes"
	"context"
	"math"
	"time"

	"cairndock/internal/pause"
)

// dueAt is when request i of a class is due after the begin: the rate rises
// evenly over the ramp and then stays.
func dueAt(c Class, i int) time.Duration {
	ramp := c.Ramp.Seconds()
	inRamp := c.Rate * ramp / 2
	n := float64(i)
	if n < inRamp {
		return time.Duration(math.Sqrt(2*n*ramp/c.Rate) * float64(time.Second))
	}
	return time.Duration((ramp + (n-inRamp)/c.Rate) * float64(time.Second))
}

// arrive sends a class's requests when they are due until "until" ends, whether
// or not earlier ones have ended (open loop). ctx is the requests' own context.
func (r *run) arrive(until, ctx context.Context, cr *classRun) {
	began := time.Now()
	for i := 0; ; i++ {
		due := began.Add(dueAt(cr.class, i))
		if d := time.Until(due); d > 0 {
			pause.For(until, d)
		}
		if until.Err() != nil {
			return
		}
		select {
		case r.slots <- struct{}{}:
		default:
			r.skipped.Add(1)
			continue
		}
		r.wait.Go(func() {
			defer func() { <-r.slots }()
			r.sendOne(ctx, cr, i, due)
		})
	}
}

// sendOne sends request i of a class, which was due at a time, and records what
// came of it.
func (r *run) sendOne(ctx context.Context, cr *classRun, i int, due time.Time) {
	hosts := *r.hosts.Load()
	host := hosts[i%min(len(hosts), nearHosts)]
	text := ""
	if cr.class.Ticket {
		text = r.ticket(ctx, host, cr.class.Service)
	}
	got := r.send(ctx, host, cr.class, i, text)
	if cr.class.Resend && text != "" {
		again := r.send(ctx, hosts[(i+1)%len(hosts)], cr.class, i, text)
		if got.verdict == answered && again.verdict == answered && !bytes.Equal(got.body, again.body) {
			r.wrong.Add(1)
		}
		got = again
	}
	if text != "" {
		r.mu.Lock()
		r.verdicts[text] = got.verdict
		r.mu.Unlock()
	}
	cr.record(got, time.Since(due))
}
