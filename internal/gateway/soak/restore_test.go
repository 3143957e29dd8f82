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
	// storeOutage is how long the store is away before it comes back from a copy.
	storeOutage = 700 * time.Millisecond
	// rewriteDelay is how long after its return the operator and the upstreams have written
	// again what was lost.
	rewriteDelay = 1500 * time.Millisecond
)

// restoreStore has the store be away for a while and come back from a copy, and returns
// what it lost.
func (w *world) restoreStore(c platformtest.Copy, outage time.Duration) platformtest.Lost {
	w.store.SetFaults(platformtest.Faults{Reset: true})
	time.Sleep(outage)
	lost := w.store.Restore(c)
	w.store.SetFaults(platformtest.Faults{})
	return lost
}

// advanceVersion has the store's version rise, by changes of rows that no host reads.
func (w *world) advanceVersion(by int) {
	for i := range by {
		w.store.Put("other", "row", i)
	}
}

// leave has an upstream say in its row that it leaves, and returns when.
func (w *world) markDraining(u *upstream) time.Time {
	w.store.PutUpstream(u.ID, u.row(true))
	return time.Now()
}

// arrivedSince is how many requests reached an upstream since a time.
func (w *world) arrivedSince(u *upstream, since time.Time) int {
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	n := 0
	for _, arrivals := range w.ledger.arrivals {
		n += len(arrivalTimes(arrivals, u, since))
	}
	return n
}

// lacking are the hosts that do not have a version of the configuration in force.
func (w *world) hostsWithoutVersion(version int) []string {
	var names []string
	for _, h := range w.hosts {
		if w.probe(h, version) == http.StatusNotFound {
			names = append(names, h.name)
		}
	}
	return names
}

// Hosts took versions of a store that was back from a copy for old ones, and learned of no
// change until these had passed what they knew.
func TestChangesAreInForceInTimeAfterTheStoreCameBackFromACopy(t *testing.T) {
	t.Parallel()
	n := newSteadyLoad(t, defaultSeed)
	w := n.world
	var sending sync.WaitGroup
	defer sending.Wait()
	sending.Go(func() { n.send(22 * time.Second) })
	for i, c := range []struct {
		name string
		// before and after are by how much the version rises in the seconds that are lost,
		// and once the store is back.
		before, after int
	}{
		{"below what hosts know", 40, 0},
		{"soon beyond it", 5, 60},
		{"about the same", 20, 16},
	} {
		t.Run(c.name, func(t *testing.T) {
			first, second := w.everyUpstream[2*i], w.everyUpstream[2*i+1]
			kept := w.store.Copy()
			w.advanceVersion(c.before)
			w.configure()
			firstLeft := w.markDraining(first)
			time.Sleep(time.Second) // hosts know both
			lost := w.restoreStore(kept, storeOutage)
			w.advanceVersion(c.after)
			time.Sleep(rewriteDelay)
			w.store.Rewrite(lost)
			w.configure()
			secondLeft := w.markDraining(second)
			time.Sleep(maxApplyDelay + slack/2)
			hostsWithoutVersion := w.hostsWithoutVersion(w.version)
			time.Sleep(slack / 2)
			lateFirst := w.arrivedSince(first, firstLeft.Add(maxDrainDelay))
			lateSecond := w.arrivedSince(second, secondLeft.Add(maxDrainDelay))
			t.Logf("%d hosts without the change, %d and %d requests to upstreams that left", len(hostsWithoutVersion), lateFirst, lateSecond)
			require.Empty(t, hostsWithoutVersion, fmt.Sprint("hosts without version ", w.version))
			require.Zero(t, lateFirst, "left before the store went away")
			require.Zero(t, lateSecond, "left after its return")
		})
	}
}

// Requests went to a zone whose evacuation a restored store lacked, from hosts that had
// known it. One host sleeps through a return of the store, and one is cut off from it.
func TestAnEvacuationHoldsWhileTheStoreComesBackTwice(t *testing.T) {
	t.Parallel()
	n := newSteadyLoad(t, defaultSeed)
	w := n.world
	var sending sync.WaitGroup
	defer sending.Wait()
	sending.Go(func() { n.send(10 * time.Second) })
	zone := zones[1].name
	kept := w.store.Copy()
	w.store.Evacuate(zone)
	evacuated := time.Now()
	time.Sleep(time.Second) // hosts know
	paused, cut := w.hosts[2], w.hosts[4]
	cut.store.set(silence)
	paused.signal(syscall.SIGSTOP)
	lost := w.restoreStore(kept, storeOutage)
	w.advanceVersion(30)
	time.Sleep(time.Second)
	w.restoreStore(kept, storeOutage)
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
