package soak

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/eventlog"
	"cairndock/internal/gateway/logline"
)

const (
	// stallTick is the interval at which the test process checks whether it is
	// scheduled, and minStall the minimum delay that is recorded as a stall.
	stallTick = 5 * time.Millisecond
	minStall  = 100 * time.Millisecond
	// maxLostDescribed is the maximum number of lost requests that are described.
	maxLostDescribed = 8
)

// stalls holds the periods in which a process was not scheduled: the test process, in
// which clients and upstreams run, or a host.
type stalls struct {
	mu    sync.Mutex
	spans []span
}

// watch records the test process's stalls until the context ends.
func (s *stalls) watch(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(stallTick)
		now := time.Now()
		if now.Sub(last) >= minStall {
			s.mu.Lock()
			s.spans = append(s.spans, span{last, now})
			s.mu.Unlock()
		}
		last = now
	}
}

// during returns the total stall time between two times.
func (s *stalls) during(from, to time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum time.Duration
	for _, x := range s.spans {
		begin, end := x.from, x.to
		if begin.Before(from) {
			begin = from
		}
		if end.After(to) {
			end = to
		}
		sum += max(0, end.Sub(begin))
	}
	return sum
}

// stalls returns the periods in which the host's process was not scheduled, according to
// its log.
func (h *host) stalls() *stalls {
	s := &stalls{}
	err := logline.Read(strings.NewReader(h.log.String()), func(l logline.Line) {
		if l.Event == eventlog.EventStalled {
			s.spans = append(s.spans, span{l.Time.Add(-time.Duration(l.ForMS * float64(time.Millisecond))), l.Time})
		}
	})
	require.NoError(h.t, err)
	return s
}

// String returns the total stall time, and the start and duration of the longest stall.
func (s *stalls) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum time.Duration
	var longest span
	for _, x := range s.spans {
		sum += x.to.Sub(x.from)
		if x.to.Sub(x.from) > longest.to.Sub(longest.from) {
			longest = x
		}
	}
	if sum == 0 {
		return "0s"
	}
	return fmt.Sprintf("%s, the longest from %s for %s", sum.Round(time.Millisecond),
		longest.from.UTC().Format("15:04:05.0"), longest.to.Sub(longest.from).Round(time.Millisecond))
}

// logStalls logs at the end of the test how long its own process and the hosts were
// stalled. Measured times are unreliable if the stalls were long.
func (w *world) logStalls() {
	var testStalls stalls
	ctx, stop := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { testStalls.watch(ctx) })
	w.t.Cleanup(func() {
		stop()
		wait.Wait()
		text := "stalled: the test for " + testStalls.String()
		for _, h := range w.hosts {
			text += "; " + h.name + " for " + h.stalls().String()
		}
		w.t.Log(text)
	})
}

// lostRequest is a request that was not served.
type lostRequest struct {
	id   string
	host *host
	// sent and ended are the times at its client.
	sent, ended time.Time
	status      int
}

// lostRequests holds the requests of a run that were not served.
type lostRequests struct {
	mu  sync.Mutex
	all []lostRequest
}

func (l *lostRequests) add(r lostRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, r)
}

// describe returns, for the first lost requests, when each reached upstreams, the host's
// log lines about it, and how long the test process and the host were stalled in the
// meantime.
func (l *lostRequests) describe(w *world, s *stalls) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var text strings.Builder
	for _, r := range l.all[:min(len(l.all), maxLostDescribed)] {
		fmt.Fprintf(&text, "%s sent %s to %s, %d after %s, of which the test was stalled for %s and the host for %s; reached upstreams after %s\n%s",
			r.id, r.sent.UTC().Format("15:04:05.000"), r.host.name, r.status, r.ended.Sub(r.sent), s.during(r.sent, r.ended), r.host.stalls().during(r.sent, r.ended), w.reachedAfter(r), r.host.requestLog(r.id))
	}
	return text.String()
}

// reachedAfter returns the time from the sending of a request to its arrival at each
// upstream that it reached.
func (w *world) reachedAfter(r lostRequest) []time.Duration {
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	var after []time.Duration
	for _, a := range w.ledger.arrivals[r.id] {
		after = append(after, a.at.Sub(r.sent))
	}
	return after
}
