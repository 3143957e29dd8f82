package fleet

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// maxStateTime is the longest time for which the paths to the store stay as they are.
	maxStateTime = 3 * time.Second
	// pathFaultTime is how long the paths to the store change.
	pathFaultTime = 30 * time.Second
	// pathWriteGap is the longest time between two writes meanwhile.
	pathWriteGap = 700 * time.Millisecond
)

// changePaths makes the paths to the store of a random share of the hosts fail in the same way, and
// mends the others. The path of the named host does not fail.
func (r *watchingRegion) changePaths(random *rand.Rand, except string) {
	share, fault := random.Float64(), random.IntN(3) // the third value is no fault
	for _, name := range r.names {
		fails := random.Float64() < share && name != except
		r.hosts[name].store.set(fails && fault == 0, fails && fault == 1)
	}
}

// Faults of the paths to the store that follow each other must not add up, as long as one host of
// the region reaches the store.
func TestHostsLearnOfChangesWithinTheBoundBesideRandomFaultsOfPathsToTheStore(t *testing.T) {
	for seed := range uint64(6) {
		synctest.Test(t, func(t *testing.T) {
			r := startWatchingRegion(t, 6)
			time.Sleep(20 * time.Second)
			random := rand.New(rand.NewPCG(seed, 0))
			reaches := r.names[random.IntN(len(r.names))]
			var changes []write
			changesAt := time.Now()
			for end := changesAt.Add(pathFaultTime); time.Now().Before(end); {
				if !time.Now().Before(changesAt) {
					r.changePaths(random, reaches)
					changesAt = time.Now().Add(time.Duration(random.Int64N(int64(maxStateTime))))
				}
				changes = append(changes, write{r.table.put(), time.Now()})
				time.Sleep(time.Duration(random.Int64N(int64(pathWriteGap))))
			}
			for _, name := range r.names {
				r.hosts[name].store.set(false, false)
			}
			time.Sleep(2 * regionStaleness)
			slowest, host := r.slowest(changes)
			require.LessOrEqual(t, slowest, regionStaleness, "%s, seed %d", host, seed)
		})
	}
}
