package soak

import (
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// silenceDuration is how long a run continues after all open connections were made
	// silent. It exceeds the clients' timeout, so that requests in flight have ended.
	silenceDuration = 3 * time.Second
	// minServedAfter is the minimum number of requests that must be served in the second
	// after all faults. The directory clients send some hundreds.
	minServedAfter = 20
)

// checkRecovery checks, after all faults, that every host serves and that clients are
// served. The hosts must also recover when all their connections to upstreams and to the
// store become silent at once.
func (w *world) checkRecovery() {
	w.awaitService(15 * time.Second)
	w.silenceAll()
	w.awaitService(5 * time.Second)
	before := w.record.totals()
	time.Sleep(time.Second)
	ends := w.record.totals()
	if n := ends[served] - before[served]; n < minServedAfter {
		w.violation("recovery: only %d requests were served in the second after all faults", n)
	}
}

// A host that resumes after a pause or after a loss of its store reports that it is
// ready. It must then accept connections at once.
func TestAHostThatGoesOnTakesNewConnectionsAtOnce(t *testing.T) {
	t.Parallel()
	const connections = 20
	w := newWorld(t, defaultSeed, 1)
	w.startHosts(10 * time.Second)
	h := w.hosts[0]
	for _, c := range []struct {
		name string
		// causeFault causes the fault. The host may resume when it returns.
		causeFault func()
	}{
		{"a pause", func() {
			h.signal(syscall.SIGSTOP)
			time.Sleep(3 * time.Second)
			h.signal(syscall.SIGCONT)
		}},
		{"a loss of the store", func() {
			h.store.set(silence)
			time.Sleep(3 * time.Second)
			h.store.set(pass)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.causeFault()
			began := time.Now()
			for range connections {
				require.Equal(t, http.StatusOK, w.probe(h, 1))
			}
			t.Logf("%d new connections served within %s", connections, time.Since(began))
			require.Less(t, time.Since(began), connections*probeTimeout/10)
		})
	}
	require.Empty(t, w.violations)
}

// silenceAll makes all open connections to upstreams and to the store silent, waits, and
// logs the effect.
func (w *world) silenceAll() {
	w.mu.Lock()
	alive := slices.Clone(w.alive)
	w.mu.Unlock()
	toUpstreams, toStore := 0, 0
	before, began := w.record.totals(), time.Now()
	for _, u := range alive {
		end := u.disruptions.begin()
		toUpstreams += u.link.silenceOpenConns()
		end()
	}
	for _, h := range w.hosts {
		end := h.disruptions.begin()
		toStore += h.store.silenceOpenConns()
		end()
	}
	time.Sleep(silenceDuration)
	ends := w.record.totals()
	w.record.fault(began, "silence all open connections")
	w.t.Logf("seed %d: %d connections to upstreams and %d to the store went silent: %d requests served, %d refused, %d closed, %d failed in %s, the last one that failed or was refused began %s after",
		w.seed, toUpstreams/2, toStore/2, ends[served]-before[served], ends[refused]-before[refused],
		ends[closed]-before[closed], ends[failed]-before[failed], silenceDuration, max(0, w.record.lastFailure().Sub(began)))
}
