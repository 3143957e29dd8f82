package soak

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The limit on retries in the hosts' settings: in any window, all hosts together may send
// retryRatio * requests + retrySlack retries.
const (
	retryRatio  = 0.2
	retryWindow = 10 * time.Second
	retrySlack  = 58
)

// checkRetries checks that upstreams received no more arrivals after the first of each
// request than the limit on retries allows, in windows that begin at any of them. As on the
// platform, the requests that clients sent count in the same window, in the window before
// it or half a window before it, whichever has the most.
func (w *world) checkRetries() {
	retries := w.ledger.retries()
	w.mu.Lock()
	requests := slices.SortedFunc(slices.Values(w.requestsSent), time.Time.Compare)
	w.mu.Unlock()
	for i, from := range retries {
		received := countBefore(retries[i:], from.Add(retryWindow))
		sent := 0
		for _, earlier := range []time.Duration{0, retryWindow / 2, retryWindow} {
			begin := from.Add(-earlier)
			sent = max(sent, countBefore(requests, begin.Add(retryWindow))-countBefore(requests, begin))
		}
		if allowed := retryRatio*float64(sent) + retrySlack; float64(received) > allowed {
			w.violation("retries: %d within %s from %s, for %d requests; allowed %.0f", received, retryWindow, from.Sub(w.record.began), sent, allowed)
			return
		}
	}
	w.t.Logf("seed %d: %d retries for %d requests", w.seed, len(retries), len(requests))
}

// retries returns the times of the arrivals after the first of each request, in order.
func (l *ledger) retries() []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	var times []time.Time
	for _, arrivals := range l.arrivals {
		for _, a := range arrivals[1:] {
			times = append(times, a.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// countBefore returns how many of the sorted times are before a time.
func countBefore(sorted []time.Time, before time.Time) int {
	n, _ := slices.BinarySearchFunc(sorted, before, time.Time.Compare)
	return n
}

// Hosts that restarted while all upstreams failed sent more retries than all hosts together
// may send.
func TestRetriesStayWithinTheLimitWhileAllUpstreamsFailAndHostsRestart(t *testing.T) {
	t.Parallel()
	w := newWorld(t, defaultSeed, defaultHosts)
	w.startHosts(10 * time.Second)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var clients sync.WaitGroup
	for i := range directoryClients {
		clients.Go(func() { w.newClient(fmt.Sprint("roaming-", i)).runDirectoryClient(ctx) })
	}
	time.Sleep(retryWindow + settleTime) // until the hosts have their shares of the slack
	for _, u := range w.alive {
		u.defect.Store(int32(reset))
	}
	time.Sleep(3 * time.Second) // until the hosts have used the retries that a window of requests allows
	w.restartAllHosts()
	time.Sleep(retryWindow)
	cancel()
	clients.Wait()
	require.NotEmpty(t, w.ledger.retries())
	w.checkRetries()
	require.Empty(t, w.violations)
}
