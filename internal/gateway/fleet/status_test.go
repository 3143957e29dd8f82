package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Each exchange of heartbeats needs this host's status. Determining it must not cost more the
// more hosts there are.
func TestTheStatusIsDeterminedOnceForManyHeartbeats(t *testing.T) {
	for _, hosts := range []int{50, 100, 200, 400} {
		now, determined := time.Now(), 0
		var c statusCache
		for range hosts {
			c.get(func() Status { determined++; return readyStatus }, now)
		}
		require.Equal(t, 1, determined, "%d hosts", hosts)
		c.get(func() Status { determined++; return readyStatus }, now.Add(statusTTL))
		require.Equal(t, 2, determined)
	}
}

// A change that is told ahead of schedule must be in the next heartbeat, also if the status was
// being determined when it happened.
func TestAStatusFromBeforeAChangeIsNotUsed(t *testing.T) {
	now := time.Now()
	var c statusCache
	changed := Status{Leaving: true}
	require.Equal(t, readyStatus, c.get(func() Status { return readyStatus }, now))
	c.reset()
	require.Equal(t, changed, c.get(func() Status { return changed }, now))
	c.reset()
	c.get(func() Status {
		c.reset()
		return readyStatus
	}, now)
	require.Equal(t, changed, c.get(func() Status { return changed }, now))
}
