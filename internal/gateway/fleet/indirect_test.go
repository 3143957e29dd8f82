package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/indirect"
)

func TestIndirectHosts(t *testing.T) {
	now := time.Now()
	m := newMembers(Host{Name: "self", Zone: "a", Region: "r"}, []string{"r"}, now)
	add := func(name string, capacity int, s Status, at time.Time) {
		m.recordHeartbeat(Host{Name: name, Zone: "a", Region: "r", PeerAddress: name + ":1", Capacity: capacity}, s, at)
	}
	add("free", 100, Status{Ready: true, TakesIndirect: true, Rate: 30}, now)
	add("unknown-capacity", 0, Status{Ready: true, TakesIndirect: true, Rate: 30}, now)
	add("full", 100, Status{Ready: true, TakesIndirect: true, Rate: 130}, now)
	add("isolated-or-older", 100, Status{Ready: true}, now)
	add("dead", 100, Status{Ready: true, TakesIndirect: true}, now.Add(-deadTimeout))
	m.addKnown(Host{Name: "only-named", Zone: "a", Region: "r"}, now)
	require.ElementsMatch(t, []indirect.Host{
		{Name: "free", Zone: "a", Region: "r", Address: "free:1", Room: 70},
		{Name: "unknown-capacity", Zone: "a", Region: "r", Address: "unknown-capacity:1", Room: unknownRoom},
		{Name: "full", Zone: "a", Region: "r", Address: "full:1", Room: -30},
	}, m.indirectHosts(now))
}
