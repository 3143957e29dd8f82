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
	// stallTick is how often the test's process looks whether it was scheduled, and
	// minStall how late it must be to be told.
	stallTick = 5 * time.Millisecond
	minStall  = 100 * time.Millisecond
	// maxLostDescribed is how many lost requests are told.
	maxLostDescribed = 8
)

// stalls are the times in which a process was not scheduled: that of the test, where
// clients and upstreams run, or a host's.
type stalls struct {
	mu    sync.Mutex
	spans []span
}

// watch records stalls until the context ends.
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

// within is how much of a time was stalled.
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

// stalls are the times in which the host logged that its process was not scheduled.
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

// String says how much was stalled at all, and when the longest stall began.
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

// logStalls has the test tell at its end for how long its own process and those of the hosts
// stood still. What it measures by time says little if they did.
func (w *world) logStalls() {
	var testStalls stalls
	ctx, stop := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { testStalls.watch(ctx) })
	w.t.Cleanup(func() {
		stop()
		wait.Wait()
		text := "stood still: the test for " + testStalls.String()
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
	// sent and ended are as its client saw them.
	sent, ended time.Time
	status      int
}

// lostRequests are the requests of a run that were not served.
type lostRequests struct {
	mu  sync.Mutex
	all []lostRequest
}

func (l *lostRequests) add(r lostRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, r)
}

// tell says of the first lost requests where their time went: when each reached upstreams,
// what its host logged, and for how long the test's own process stood still meanwhile.
func (l *lostRequests) describe(w *world, s *stalls) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var text strings.Builder
	for _, r := range l.all[:min(len(l.all), maxLostDescribed)] {
		fmt.Fprintf(&text, "%s sent %s to %s, %d after %s, of which the test stood still for %s and the host for %s; reached upstreams after %s\n%s",
			r.id, r.sent.UTC().Format("15:04:05.000"), r.host.name, r.status, r.ended.Sub(r.sent), s.during(r.sent, r.ended), r.host.stalls().during(r.sent, r.ended), w.reachedAfter(r), r.host.requestLog(r.id))
	}
	return text.String()
}

// reachedAfter is how long after a request was sent it reached each upstream that it did.
func (w *world) reachedAfter(r lostRequest) []time.Duration {
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	var after []time.Duration
	for _, a := range w.ledger.arrivals[r.id] {
		after = append(after, a.at.Sub(r.sent))
	}
	return after
}
