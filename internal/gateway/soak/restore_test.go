package soak

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/platform/platformtest"
)

const (
	// storeOutage is how long the store is unavailable before it is restored from a
	// copy.
	storeOutage = 700 * time.Millisecond
	// rewriteDelay is the time after the restore in which the operator and the upstreams
	// write the lost entries again.
	rewriteDelay = 1500 * time.Millisecond
)

// restoreStore makes the store unavailable for a while, restores it from a copy, and
// returns what it lost.
func (w *world) restoreStore(c platformtest.Copy, outage time.Duration) platformtest.Lost {
	w.store.SetFaults(platformtest.Faults{Reset: true})
	time.Sleep(outage)
	lost := w.store.Restore(c)
	w.store.SetFaults(platformtest.Faults{})
	return lost
}

// advanceVersion increases the store's version by changes of rows that no host reads.
func (w *world) advanceVersion(by int) {
	for i := range by {
		w.store.Put("other", "row", i)
	}
}

// markDraining writes an upstream's row with the draining state, and returns the time of
// this write.
func (w *world) markDraining(u *upstream) time.Time {
	w.store.PutUpstream(u.ID, u.row(true))
	return time.Now()
}

// arrivedSince returns the number of requests that reached an upstream since a time.
func (w *world) arrivedSince(u *upstream, since time.Time) int {
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	n := 0
	for _, arrivals := range w.ledger.arrivals {
		n += len(arrivalTimes(arrivals, u, since))
	}
	return n
}

// hostsWithoutVersion returns the names of the hosts that do not use a version of the
// configuration.
func (w *world) hostsWithoutVersion(version int) []string {
	var names []string
	for _, h := range w.hosts {
		if w.probe(h, version) == http.StatusNotFound {
			names = append(names, h.name)
		}
	}
	return names
}

// Hosts treated versions of a store that was restored from a copy as old, and applied no
// change until the versions exceeded those that the hosts had seen.
func TestChangesAreInForceInTimeAfterTheStoreCameBackFromACopy(t *testing.T) {
	t.Parallel()
	n := newSteadyLoad(t, defaultSeed)
	w := n.world
	var sending sync.WaitGroup
	defer sending.Wait()
	sending.Go(func() { n.send(22 * time.Second) })
	for i, c := range []struct {
		name string
		// before is the increase of the version in the seconds that are lost, and after
		// the increase once the store is available again.
		before, after int
	}{
		{"below the hosts' version", 40, 0},
		{"soon above the hosts' version", 5, 60},
		{"about the hosts' version", 20, 16},
	} {
		t.Run(c.name, func(t *testing.T) {
			first, second := w.everyUpstream[2*i], w.everyUpstream[2*i+1]
			snapshot := w.store.Copy()
			w.advanceVersion(c.before)
			w.configure()
			firstDrainedAt := w.markDraining(first)
			time.Sleep(time.Second) // until hosts have both changes
			lost := w.restoreStore(snapshot, storeOutage)
			w.advanceVersion(c.after)
			time.Sleep(rewriteDelay)
			w.store.Rewrite(lost)
			w.configure()
			secondDrainedAt := w.markDraining(second)
			time.Sleep(maxApplyDelay + slack/2)
			hostsWithoutVersion := w.hostsWithoutVersion(w.version)
			time.Sleep(slack / 2)
			lateFirst := w.arrivedSince(first, firstDrainedAt.Add(maxDrainDelay))
			lateSecond := w.arrivedSince(second, secondDrainedAt.Add(maxDrainDelay))
			t.Logf("%d hosts without the change, %d and %d late requests to draining upstreams", len(hostsWithoutVersion), lateFirst, lateSecond)
			require.Empty(t, hostsWithoutVersion, fmt.Sprint("hosts without version ", w.version))
			require.Zero(t, lateFirst, "draining before the store became unavailable")
			require.Zero(t, lateSecond, "draining after the store was available again")
		})
	}
}

// Hosts that had applied an evacuation sent requests to the zone again after a restored
// store lacked the evacuation. The store is restored twice. In the meantime one host is
// paused, and another one is disconnected from the store.
func TestAnEvacuationHoldsWhileTheStoreComesBackTwice(t *testing.T) {
	t.Parallel()
	n := newSteadyLoad(t, defaultSeed)
	w := n.world
	var sending sync.WaitGroup
	defer sending.Wait()
	sending.Go(func() { n.send(10 * time.Second) })
	zone := zones[1].name
	snapshot := w.store.Copy()
	w.store.Evacuate(zone)
	evacuated := time.Now()
	time.Sleep(time.Second) // until hosts have the evacuation
	paused, cut := w.hosts[2], w.hosts[4]
	cut.store.set(silence)
	paused.signal(syscall.SIGSTOP)
	lost := w.restoreStore(snapshot, storeOutage)
	w.advanceVersion(30)
	time.Sleep(time.Second)
	w.restoreStore(snapshot, storeOutage)
	paused.signal(syscall.SIGCONT)
	time.Sleep(rewriteDelay)
	cut.store.set(pass)
	w.store.Rewrite(lost)
	time.Sleep(maxEvacuationDelay)
	late := 0
	for _, u := range w.everyUpstream {
		if u.zone == zone {
			late += w.arrivedSince(u, evacuated.Add(maxEvacuationDelay))
		}
	}
	require.Zero(t, late, "requests to the zone")
	w.store.EndEvacuation(zone)
	time.Sleep(time.Second)
	require.Empty(t, w.violations)
}
