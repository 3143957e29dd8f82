package soak

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// simultaneousTerminations is the number of upstreams that terminate at the same
	// time.
	simultaneousTerminations = 8
	// simultaneousRequests is the number of requests that are sent at once right
	// afterwards.
	simultaneousRequests = 100
)

// Requests that were sent right after upstreams had terminated were refused within
// milliseconds, although other upstreams had free capacity, because all their attempts
// went to terminated upstreams.
func TestRequestsAreServedRightAfterUpstreamsEndedSideBySide(t *testing.T) {
	t.Parallel()
	w := newTimedWorld(t, defaultSeed)
	for i := range extraUpstreams {
		w.addUpstream(zones[i%len(zones)].name)
	}
	w.startHosts(10 * time.Second)
	var stalled stalls
	go stalled.watch(t.Context())
	time.Sleep(settleTime)
	for _, c := range []struct {
		name string
		// selectUpstreams returns the upstreams that terminate.
		selectUpstreams func() []*upstream
	}{
		{"anywhere", w.someUpstreams},
		{"in-one-zone", func() []*upstream { return w.upstreamsOf(zones[0].name) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, u := range c.selectUpstreams() {
				w.replace(u, replacementDelay, func() {})
			}
			lost := w.sendSimultaneously(t, "after-"+c.name)
			time.Sleep(replacementDelay + warmUpTime) // until replacements have started and are warm
			require.Empty(t, lost.describe(w, &stalled))
		})
	}
}

// someUpstreams returns simultaneousTerminations random upstreams.
func (w *world) someUpstreams() []*upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	var some []*upstream
	for _, i := range w.rand.Perm(len(w.alive))[:simultaneousTerminations] {
		some = append(some, w.alive[i])
	}
	return some
}

// upstreamsOf returns the upstreams of a zone.
func (w *world) upstreamsOf(zone string) []*upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []*upstream
	for _, u := range w.alive {
		if u.zone == zone {
			all = append(all, u)
		}
	}
	return all
}

// sendSimultaneously sends simultaneousRequests requests at once, distributed over the
// hosts, and returns those that were not served. The name is the prefix of their IDs.
func (w *world) sendSimultaneously(t *testing.T, name string) *lostRequests {
	var lost lostRequests
	var wait sync.WaitGroup
	for n := range simultaneousRequests {
		wait.Go(func() {
			r := lostRequest{id: fmt.Sprint(name, "-", n), host: w.hosts[n%len(w.hosts)], sent: time.Now()}
			r.status = w.sendFrom(t.Context(), http.DefaultClient, r.host, r.id, http.MethodGet, "/safe/popular", "")
			if r.status == http.StatusOK {
				return
			}
			r.ended = time.Now()
			lost.add(r)
		})
	}
	wait.Wait()
	time.Sleep(100 * time.Millisecond) // until the log lines of lost requests are written
	return &lost
}
