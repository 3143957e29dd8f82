package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/platform/platformtest"
)

const (
	// secondService is a service that is rolled out beside the usual one.
	secondService = "second"
	// shortRollout is the time that the orders grant while something fails.
	shortRollout = 3 * time.Second
	// allRolloutCases is the environment variable by which all cases are played. By default
	// only the first one is, which keeps CI short.
	allRolloutCases = "SOAK_ROLLOUTS"
)

// writeLog passes requests to the store, and knows the last connection that wrote.
type writeLog struct {
	store  http.Handler
	writer atomic.Pointer[string]
}

// ServeHTTP implements http.Handler.
func (l *writeLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		l.writer.Store(&r.RemoteAddr)
	}
	l.store.ServeHTTP(w, r)
}

// lastWriter returns the host that last wrote to the store; the first one if that has closed its
// connection.
func (w *world) lastWriter() *host {
	address := w.writes.writer.Load()
	for _, h := range w.hosts {
		if address != nil && h.store.dialsFrom(*address) {
			return h
		}
	}
	return w.hosts[0]
}

// dialsFrom reports whether an open connection to the link's target has a local address.
func (k *link) dialsFrom(address string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		if c.LocalAddr().String() == address {
			return true
		}
	}
	return false
}

// startUpstreamsOf starts upstreams of a version of a service.
func (w *world) startUpstreamsOf(serviceName, version string, count int) []*upstream {
	var started []*upstream
	for i := range count {
		u := newUpstream(w.t, fmt.Sprint(serviceName, "-", version, "-", i), zones[i%len(zones)].name, w.ledger, w.checkDrained)
		u.service, u.version = serviceName, version
		w.mu.Lock()
		w.everyUpstream = append(w.everyUpstream, u)
		w.mu.Unlock()
		w.store.PutUpstream(u.ID, u.row(false))
		started = append(started, u)
	}
	return started
}

// rolloutLoad sends requests to both services, and counts those that were not served.
type rolloutLoad struct {
	sent, failed atomic.Int64
	clients      sync.WaitGroup
}

func (w *world) startRolloutLoad(ctx context.Context) *rolloutLoad {
	l := &rolloutLoad{}
	for client := range 24 {
		l.clients.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				request := platformtest.Request{ID: fmt.Sprintf("fault-%d-%d", client, n), Key: fmt.Sprint((client*7 + n) % rolloutObjects)}
				method, path := http.MethodGet, []string{"/safe/x", "/second/x"}[n%2]
				if n%6 == 0 {
					method, path = http.MethodPost, "/once/x"
				}
				l.sent.Add(1)
				if w.sendKeyed(context.Background(), http.DefaultClient, w.hosts[(client+n)%len(w.hosts)], request, method, path, "") != http.StatusOK {
					l.failed.Add(1)
				}
			}
		})
	}
	return l
}

// rolloutState returns the state of a service's roll-out to a version.
func (w *world) rolloutState(serviceName, version string) string {
	if state, of := w.store.Rollout(serviceName); of == version {
		return state
	}
	return ""
}

// A good version must succeed while something fails, and the platform then stops the other
// upstreams without a drain: none of their requests may be interrupted, and none sent later.
func TestARollOutThatSucceedsUnderFailureCutsNoRequest(t *testing.T) {
	t.Parallel()
	for i, c := range []struct {
		name string
		// fault happens half a second after the order, and ends before it returns.
		fault func(w *world)
		// within is the time by which both roll-outs must have succeeded.
		within time.Duration
	}{
		{"two services at once, and one order is replaced midway", func(w *world) {
			w.startUpstreamsOf(service, "v3", upstreams)
			w.store.OrderRollout(service, "v3", shortRollout)
		}, 4 * shortRollout},
		{"the store does not respond, and the host that last wrote is killed", func(w *world) {
			h := w.lastWriter()
			w.t.Logf("%s wrote last", h.name)
			w.store.SetFaults(platformtest.Faults{Silent: true})
			h.kill()
			time.Sleep(1500 * time.Millisecond)
			w.store.SetFaults(platformtest.Faults{})
			h.expectExit(false)
			h.start()
			w.awaitHost(h, 10*time.Second)
		}, 6 * shortRollout},
		{"a region loses the responses of the store and its path to upstreams, and has them back", func(w *world) {
			cutHosts := map[*host]cut{}
			for _, h := range w.hosts {
				if h.zone.region == "east" {
					h.store.set(oneWay)
					cutHosts[h] = cutSilent
				}
			}
			end := w.cutOff(cutHosts)
			time.Sleep(1500 * time.Millisecond)
			end()
			for h := range cutHosts {
				h.store.set(pass)
			}
		}, 6 * shortRollout},
		{"the connections of three hosts are reset", func(w *world) {
			end := w.cutOff(map[*host]cut{w.hosts[0]: cutReset, w.hosts[4]: cutReset, w.hosts[8]: cutReset})
			time.Sleep(1500 * time.Millisecond)
			end()
		}, 6 * shortRollout},
	} {
		if i > 0 && os.Getenv(allRolloutCases) == "" {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			w := newTimedWorld(t, defaultSeed)
			w.hasSecondService = true
			w.configure()
			w.startUpstreamsOf(secondService, "", upstreams)
			w.startHosts(10 * time.Second)
			time.Sleep(300 * time.Millisecond) // warm-up quotas are known then
			w.playRolloutUnderFailure(t, c.fault, c.within)
		})
	}
}

// playRolloutUnderFailure rolls out both services while a fault happens, and stops the old
// upstreams of each as soon as its roll-out has succeeded.
func (w *world) playRolloutUnderFailure(t *testing.T, fault func(w *world), within time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	load := w.startRolloutLoad(ctx)
	ordered := time.Now()
	for _, name := range []string{service, secondService} {
		w.startUpstreamsOf(name, newVersion, upstreams)
		w.store.OrderRollout(name, newVersion, shortRollout)
	}
	var faults sync.WaitGroup
	faults.Go(func() {
		time.Sleep(500 * time.Millisecond)
		fault(w)
	})
	var stopped []*upstream
	ended, failedBefore := map[string]time.Time{}, int64(0)
	for len(ended) < 2 && time.Since(ordered) < within {
		time.Sleep(time.Millisecond)
		for _, name := range []string{service, secondService} {
			version, old := w.lastOrder(name)
			if _, known := ended[name]; known || w.rolloutState(name, version) != "succeeded" {
				continue
			}
			if ended[name] = time.Now(); len(ended) == 1 {
				failedBefore = load.failed.Load()
			}
			for _, u := range old {
				u.crash()
				w.store.DeleteUpstream(u.ID)
			}
			stopped = append(stopped, old...)
		}
	}
	faults.Wait()
	last := time.Since(ordered)
	time.Sleep(700 * time.Millisecond) // a late request would arrive in this time
	cancel()
	load.clients.Wait()
	late := 0
	for _, u := range stopped {
		late += w.arrivalsAfter([]*upstream{u}, ended[w.serviceOf(u)])
	}
	t.Logf("%d of 2 succeeded, the last one and the fault ended by %s after the order; %d sent, %d failed before, %d after the first success, %d sent later",
		len(ended), last, load.sent.Load(), failedBefore, load.failed.Load()-failedBefore, late)
	require.Len(t, ended, 2)
	require.Zero(t, load.failed.Load()-failedBefore, "requests that were interrupted")
	require.Zero(t, late, "requests that were sent later")
}

// lastOrder returns the version that the last order of a service names, and the upstreams of its
// other versions.
func (w *world) lastOrder(serviceName string) (version string, old []*upstream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	version = newVersion
	for _, u := range w.everyUpstream {
		if w.serviceOf(u) == serviceName && u.version > version {
			version = u.version
		}
	}
	for _, u := range w.everyUpstream {
		if w.serviceOf(u) == serviceName && u.version != version {
			old = append(old, u)
		}
	}
	return version, old
}

// serviceOf returns the service of an upstream.
func (w *world) serviceOf(u *upstream) string {
	if u.service == "" {
		return service
	}
	return u.service
}
