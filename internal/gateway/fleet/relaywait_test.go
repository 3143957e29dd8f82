package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A host polls the store if its relay looks stale, and so do all hosts that poll this one.
func TestOneHostOfARegionOfSlowHostsPollsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startWatchingRegion(t, 30)
		r.slowDown(25 * time.Millisecond)
		time.Sleep(10 * time.Second)
		r.pollsStore()
		time.Sleep(30 * time.Second)
		require.Equal(t, []string{r.root()}, r.pollsStore())
	})
}
