package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/fleet"
	"cairndock/internal/gateway/upstream"
)

func registration(id string, startedAt int64) upstream.Registration {
	return upstream.Registration{ID: id, StartedAt: startedAt, Service: "s", Zone: "z", Region: "r"}
}

// Guards against reports of another host that are used for a run that ended or an upstream that
// is draining, also while the index is of the set before.
func TestOnlyRunsThatMayReceiveRequestsAreFound(t *testing.T) {
	now := time.Now()
	r := upstream.NewRegistry(func(string) time.Duration { return 0 })
	for _, id := range []string{"a", "b", "c", "d"} {
		r.Put(registration(id, 1), now)
	}
	var x runIndex
	find := func(run upstream.Run) bool {
		found, ok := x.get(fleet.RunKey(run), r.Set(), now)
		require.True(t, !ok || found == run, "%s for %s", found, run)
		return ok
	}
	require.True(t, find("a@1"))
	require.False(t, find("e@1"))

	r.Put(registration("a", 2), now)
	r.Remove("b", now, time.Time{})
	leaving := registration("c", 1)
	leaving.Draining = true
	r.Put(leaving, now)
	for range 2 {
		require.False(t, find("a@1"))
		require.False(t, find("b@1"))
		require.False(t, find("c@1"))
		require.True(t, find("d@1"))
		now = now.Add(runIndexTTL)
	}
	require.True(t, find("a@2"))
}

// The set changes with each row of the store. An index that is built anew for each change and
// heartbeat takes a small host's processor time while upstreams are replaced.
func TestTheIndexOfRunsIsBuiltOncePerPeriod(t *testing.T) {
	now := time.Now()
	r := upstream.NewRegistry(func(string) time.Duration { return 0 })
	var x runIndex
	for i := range 100 {
		r.Put(registration(fmt.Sprint(i), 1), now)
		x.get(0, r.Set(), now)
		require.Len(t, x.byKey, 1)
	}
	x.get(0, r.Set(), now.Add(runIndexTTL))
	require.Len(t, x.byKey, 100)
}

// Guards against hosts that decide otherwise with the settings off, and against a setting
// without effect.
func TestSettingsSelectTheRulesOfTheBalancer(t *testing.T) {
	require.Equal(t, balance.DefaultPolicy(), BalanceSettings{}.policy())
	even, copies := balance.DefaultPolicy(), balance.DefaultPolicy()
	even.EvenLoad, copies.ZoneCopies = true, true
	require.Equal(t, even, BalanceSettings{EvenLoad: true}.policy())
	require.Equal(t, copies, BalanceSettings{ZoneCopies: true}.policy())
}
