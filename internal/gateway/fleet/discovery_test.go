package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestAHostQueriesForAllHostsFirstAndThenForThoseOfEachRegion(t *testing.T) {
	now := time.Now()
	d := newDiscovery("west")
	require.Equal(t, queryAll, d.next("", now))
	require.Equal(t, queryNone, d.next("east", now), "one query at a time")
	now = now.Add(heartbeatTimeout)
	require.Equal(t, queryAll, d.next("east", now), "the first peer did not respond")
	d.complete = true
	require.Equal(t, queryRegion, d.next("east", now))
	require.Equal(t, queryNone, d.next("east", now.Add(time.Second)))
	require.Equal(t, queryRegion, d.next("south", now.Add(time.Second)))
	require.Equal(t, queryNone, d.next("west", now))
	require.Equal(t, queryRegion, d.next("east", now.Add(regionQueryInterval)))
}
