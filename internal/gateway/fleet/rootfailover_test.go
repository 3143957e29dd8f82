package fleet

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// storeFaultShare is the share of hosts, beside the root, whose path to the store fails.
	storeFaultShare = 0.35
	// maxWriteGap is the longest time between two writes of a test.
	maxWriteGap = 2 * time.Second
)

// write is a change of the table.
type write struct {
	version int64
	at      time.Time
}

// failStorePaths makes the paths to the store of the root and of a share of the hosts fail, for a
// time in which the table changes. It returns the changes.
func (r *watchingRegion) failStorePaths(random *rand.Rand, refused, silent bool, d time.Duration) []write {
	failing := []*link{&r.hosts[r.root()].store}
	for _, name := range r.names {
		if random.Float64() < storeFaultShare {
			failing = append(failing, &r.hosts[name].store)
		}
	}
	for _, l := range failing {
		l.set(refused, silent)
	}
	var writes []write
	for began := time.Now(); time.Since(began) < d; time.Sleep(time.Duration(random.Int64N(int64(maxWriteGap)))) {
		writes = append(writes, write{r.table.put(), time.Now()})
	}
	for _, l := range failing {
		l.set(false, false)
	}
	return writes
}

// slowest returns the longest time that any host took to learn of one of the changes.
func (r *watchingRegion) slowest(writes []write) (slowest time.Duration, host string) {
	for _, w := range writes {
		for name, h := range r.hosts {
			if d := h.delay(w.version, w.at); d > slowest {
				slowest, host = d, name
			}
		}
	}
	return slowest, host
}

// testStoreFault checks that no host of a region takes longer than the limit to learn of a change
// while the paths of some hosts to the store fail.
func testStoreFault(t *testing.T, refused, silent bool, limit time.Duration) {
	t.Helper()
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			r := startWatchingRegion(t, 30)
			time.Sleep(20 * time.Second)
			writes := r.failStorePaths(rand.New(rand.NewPCG(seed, 0)), refused, silent, 10*time.Second)
			time.Sleep(2 * regionStaleness)
			slowest, host := r.slowest(writes)
			require.LessOrEqual(t, slowest, limit, "%s, seed %d", host, seed)
		})
	}
}

// The other hosts of the region reach the store, and one of them takes the root's place.
func TestARootThatTheStoreRefusesDoesNotDelayChanges(t *testing.T) {
	testStoreFault(t, true, false, heartbeatInterval+schedulerTick)
}

// The root and the host that took its place must not wait for each other.
func TestARootThatReachesTheStoreAgainDoesNotDelayChanges(t *testing.T) {
	for seed := range uint64(16) {
		synctest.Test(t, func(t *testing.T) {
			r := startWatchingRegion(t, 6)
			time.Sleep(20 * time.Second)
			root, random := r.root(), rand.New(rand.NewPCG(seed, 0))
			r.failStorePaths(random, true, false, 5*time.Second)
			for r.hosts[root].fleet.storeUnreachable() {
				r.table.put() // the host in the root's place selects its source anew after each change
				time.Sleep(schedulerTick / 4)
			}
			time.Sleep(time.Duration(random.Int64N(int64(regionStaleness / 2))))
			changes := []write{{r.table.put(), time.Now()}}
			time.Sleep(2 * regionStaleness)
			slowest, host := r.slowest(changes)
			require.LessOrEqual(t, slowest, heartbeatInterval+schedulerTick, "%s, seed %d", host, seed)
		})
	}
}

func TestHostsWithoutAPathToTheStoreLearnOfChangesWithinTheBound(t *testing.T) {
	testStoreFault(t, false, true, regionStaleness*19/20)
}
