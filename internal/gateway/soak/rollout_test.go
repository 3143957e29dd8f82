package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/platform/platformtest"
)

const (
	// rolloutDuration is the time that the tests' orders grant.
	rolloutDuration = 8 * time.Second
	// rolloutClients is the number of clients that send requests during a roll-out, one after
	// the other, and rolloutObjects the number of objects that they request.
	rolloutClients = 40
	rolloutObjects = 60
	// newVersion is the version that is rolled out.
	newVersion = "v2"
)

// startVersion starts upstreams of the new version and returns them.
func (w *world) startVersion(count int, d defect) []*upstream {
	var started []*upstream
	for i := range count {
		u := newUpstream(w.t, fmt.Sprint("new-", i), zones[i%len(zones)].name, w.ledger, w.checkDrained)
		u.version = newVersion
		u.defect.Store(int32(d))
		w.mu.Lock()
		w.everyUpstream = append(w.everyUpstream, u)
		w.mu.Unlock()
		w.store.PutUpstream(u.ID, u.row(false))
		started = append(started, u)
	}
	return started
}

// sendObjects sends requests until the context ends, and counts those that were not served.
func (w *world) sendObjects(ctx context.Context, sent, failed *atomic.Int64) *sync.WaitGroup {
	var wait sync.WaitGroup
	for client := range rolloutClients {
		wait.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				request := platformtest.Request{ID: fmt.Sprintf("rollout-%d-%d", client, n), Key: fmt.Sprint((client*7 + n) % rolloutObjects)}
				method, path := http.MethodGet, "/safe/x"
				if n%3 == 0 {
					method, path = http.MethodPost, "/once/x"
				}
				status := w.sendKeyed(context.Background(), http.DefaultClient, w.hosts[(client+n)%len(w.hosts)], request, method, path, "")
				sent.Add(1)
				if status != http.StatusOK {
					failed.Add(1)
				}
			}
		})
	}
	return &wait
}

// awaitRollout waits until the roll-out has ended, and returns its state.
func (w *world) awaitRollout(t *testing.T, timeout time.Duration) string {
	t.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if state, version := w.store.Rollout(service); version == newVersion && state != "running" {
			return state
		}
	}
	return "running"
}

// arrivalsAfter returns the number of requests that reached upstreams after a time.
func (w *world) arrivalsAfter(list []*upstream, at time.Time) (count int) {
	byUpstream := w.ledger.arrivalsByUpstream()
	for _, u := range list {
		for _, arrived := range byUpstream[u] {
			if arrived.After(at) {
				count++
			}
		}
	}
	return count
}

// Once a roll-out has succeeded, the platform stops the upstreams of the old version without
// a drain. No request may be in flight there then, and none may come later, also if hosts end or
// the store is out of reach for a while.
func TestARollOutThatSucceedsCutsNoRequest(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		fault func(w *world)
		// within is the time by which the roll-out must have succeeded.
		within time.Duration
	}{
		{"without a fault", func(*world) {}, rolloutDuration},
		{"hosts are killed", func(w *world) {
			for _, h := range w.hosts[:3] {
				time.Sleep(time.Second)
				h.kill()
				h.expectExit(false)
				h.start()
				w.awaitHost(h, 10*time.Second)
			}
		}, 4 * rolloutDuration},
		{"the store is out of reach", func(w *world) {
			time.Sleep(2 * time.Second)
			w.store.SetFaults(platformtest.Faults{Silent: true})
			time.Sleep(4 * time.Second)
			w.store.SetFaults(platformtest.Faults{})
		}, 4 * rolloutDuration},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newTimedWorld(t, defaultSeed)
			w.startHosts(10 * time.Second)
			time.Sleep(settleTime)
			old := append([]*upstream(nil), w.alive...)
			var sent, failed atomic.Int64
			ctx, cancel := context.WithCancel(t.Context())
			wait := w.sendObjects(ctx, &sent, &failed)
			ordered := time.Now()
			w.store.OrderRollout(service, newVersion, rolloutDuration)
			started := w.startVersion(len(old), healthy)
			c.fault(w)
			before := failed.Load()
			state := w.awaitRollout(t, c.within)
			succeeded := time.Now()
			for _, u := range old {
				u.crash()
				w.store.DeleteUpstream(u.ID)
			}
			time.Sleep(time.Second)
			cancel()
			wait.Wait()
			t.Logf("%s %s after the order; of %d requests %d failed beside the fault and %d after it", state, succeeded.Sub(ordered), sent.Load(), before, failed.Load()-before)
			require.Equal(t, "succeeded", state)
			require.LessOrEqual(t, succeeded.Sub(ordered), c.within)
			require.Zero(t, failed.Load()-before)
			require.Zero(t, w.arrivalsAfter(old, succeeded))
			require.Positive(t, w.arrivalsAfter(started, succeeded))
		})
	}
}

// A bad version must get few requests, and none after it was rolled back.
func TestABadVersionIsRolledBack(t *testing.T) {
	t.Parallel()
	w := newTimedWorld(t, defaultSeed)
	w.startHosts(10 * time.Second)
	time.Sleep(settleTime)
	var sent, failed atomic.Int64
	ctx, cancel := context.WithCancel(t.Context())
	wait := w.sendObjects(ctx, &sent, &failed)
	time.Sleep(time.Second)
	w.store.OrderRollout(service, newVersion, rolloutDuration)
	started := w.startVersion(upstreams, reset)
	state := w.awaitRollout(t, 2*rolloutDuration)
	rolledBack := time.Now()
	time.Sleep(time.Second)
	late := w.arrivalsAfter(started, rolledBack.Add(500*time.Millisecond))
	all := w.arrivalsAfter(started, time.Time{})
	cancel()
	wait.Wait()
	t.Logf("%s; the version got %d of %d requests, %d of them late", state, all, sent.Load(), late)
	require.Equal(t, "rolled_back", state)
	require.Zero(t, late)
	require.LessOrEqual(t, all, 50+int(sent.Load())/10)
	require.Positive(t, all)
}
