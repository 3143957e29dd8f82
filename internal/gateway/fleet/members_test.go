package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestADeadPeerIsReportedOnceAndForgottenLater(t *testing.T) {
	now := time.Now()
	m := nineHosts("west0", now)
	m.heartbeatPeers(now)
	dead := m.expire(now, now.Add(deadTimeout))
	require.Len(t, dead, 2+2*remoteFanout, "peers that get heartbeats")
	require.Empty(t, m.expire(now.Add(deadTimeout), now.Add(deadTimeout+time.Second)))
	require.Equal(t, 9, m.size(), "limits are still split over hosts that may only be cut off")
	m.expire(now, now.Add(2*peerTTL))
	require.Equal(t, 1, m.size())
}

// A host that has announced that it leaves is not merely unreachable.
func TestAPeerThatLeftIsForgottenSoon(t *testing.T) {
	now := time.Now()
	m := nineHosts("west0", now)
	m.recordHeartbeat(host("west1", "west-0", "west"), Status{Ready: true, Leaving: true}, now)
	m.expire(now, now.Add(leavingPeerTTL))
	require.Equal(t, 9, m.size())
	m.expire(now, now.Add(leavingPeerTTL+1))
	require.Equal(t, 8, m.size())
}

// Without this, starting hosts would pass on the names of removed hosts forever.
func TestOnlyRecentlyReportedPeersAreNamedToOthers(t *testing.T) {
	now := time.Now()
	m := nineHosts("west0", now)
	require.Len(t, m.seenRecently(now.Add(advertisePeriod-1)), 8)
	m.addKnown(host("east0", "east-0", "east"), now.Add(time.Second))
	require.Len(t, m.seenRecently(now.Add(advertisePeriod)), 1)
}

// Limits are split over all hosts, but a host gets heartbeats only from some of them.
func TestAPeerThatOthersNameIsNotForgotten(t *testing.T) {
	now := time.Now()
	m := nineHosts("west0", now)
	later := now.Add(peerTTL + time.Second)
	m.addKnown(host("east0", "east-0", "east"), later.Add(-regionQueryInterval))
	m.expire(later, later)
	require.Equal(t, 2, m.size())
}

func TestARestartedPeerIsAnotherIncarnation(t *testing.T) {
	now := time.Now()
	m := nineHosts("west0", now)
	h := host("west1", "west-0", "west")
	require.False(t, m.recordHeartbeat(h, readyStatus, now))
	h.Incarnation = "2"
	require.True(t, m.recordHeartbeat(h, readyStatus, now))
}
