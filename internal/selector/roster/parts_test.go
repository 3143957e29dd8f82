package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// settledHolder returns a holder with a settled roster of the given hosts.
func settledHolder(t *testing.T, host string, hosts ...string) *Holder {
	t.Helper()
	now := time.Now()
	h := NewHolder(host, host+"-1", "z")
	h.Observe(rosterOf(1, hosts...), now)
	for _, other := range hosts {
		h.Ack(other, other+"-1", 1)
	}
	require.True(t, h.Settle(now, maxDeadline))
	require.True(t, h.Settled())
	return h
}

// TestSharesAddUpToTheLimit checks that each unit of a limit that the hosts of a zone
// share belongs to exactly one host, and that rates are split evenly.
func TestSharesAddUpToTheLimit(t *testing.T) {
	hosts := []string{"a", "b", "c"}
	for _, units := range []int{0, 1, 3, 100} {
		sum, rate := 0, 0.0
		for _, name := range hosts {
			h := settledHolder(t, name, hosts...)
			sum += h.Share("rule:r", units, maxDeadline, time.Now())
			rate += h.Fraction(time.Now(), maxDeadline)
		}
		require.Equal(t, units, sum)
		require.InDelta(t, 1, rate, 1e-9)
	}
}

// TestSharesWhileARosterIsNotSettled checks that a host has only the units of both the
// old and the new roster until the change is settled.
func TestSharesWhileARosterIsNotSettled(t *testing.T) {
	const units = 100
	now := time.Now()
	cases := []struct {
		name     string
		before   []string
		next     []string
		fraction float64
	}{
		{"another host joins", []string{"a", "b"}, []string{"a", "b", "c"}, 1.0 / 3},
		{"another host leaves", []string{"a", "b", "c"}, []string{"a", "b"}, 1.0 / 3},
		{"this host leaves", []string{"a", "b"}, []string{"b"}, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			before := settledHolder(t, "a", tc.before...).Share("k", units, maxDeadline, now)
			after := 0
			if tc.fraction > 0 {
				after = settledHolder(t, "a", tc.next...).Share("k", units, maxDeadline, now)
			}
			h := settledHolder(t, "a", tc.before...)
			h.Observe(rosterOf(2, tc.next...), now)
			require.False(t, h.Settled())
			require.Equal(t, min(before, after), h.Share("k", units, maxDeadline, now))
			require.InDelta(t, tc.fraction, h.Fraction(now, maxDeadline), 1e-9)
		})
	}
}

func TestOnlyTheActiveIncarnationHasAShare(t *testing.T) {
	now := time.Now()
	for name, r := range map[string]Roster{
		"not a member":        rosterOf(1, "b"),
		"another incarnation": rosterOf(1).WithMember(Member{Host: "a", Incarnation: "a-2", State: Active}),
		"leaving":             rosterOf(1, "a").WithState("a", Leaving),
	} {
		h := NewHolder("a", "a-1", "z")
		h.Observe(r, now)
		h.Ack("b", "b-1", r.Epoch)
		h.Settle(now, maxDeadline)
		require.Zero(t, h.Share("k", 100, maxDeadline, now), name)
		require.Zero(t, h.Fraction(now, maxDeadline), name)
		require.Zero(t, h.Held("up", 64, maxDeadline, now), name)
	}
}

// TestSettleStepChangesWhenSlotsMayBecomeUsable checks that the step changes with the
// time since the last death, because services settle according to their deadlines.
func TestSettleStepChangesWhenSlotsMayBecomeUsable(t *testing.T) {
	now := time.Now()
	h := NewHolder("a", "a-1", "z")
	h.Observe(rosterOf(1, "a", "b"), now)
	require.Zero(t, h.SettleStep(now), "not acknowledged yet")
	h.Ack("b", "b-1", 1)
	require.Equal(t, 1, h.SettleStep(now))
	require.Equal(t, 1, h.SettleStep(now.Add(time.Hour)), "no member has died")
	h.Settle(now, maxDeadline)
	require.Zero(t, h.SettleStep(now), "the roster is already settled")
	h.Observe(rosterOf(1, "a", "b").WithState("b", Dead), now)
	require.Equal(t, 1, h.SettleStep(now))
	require.Equal(t, 1, h.SettleStep(now.Add(settleStepInterval-1)))
	require.Equal(t, 2, h.SettleStep(now.Add(settleStepInterval)))
	require.Equal(t, 9, h.SettleStep(now.Add(8*settleStepInterval)))
}

// TestRendezvousHashing checks that the owner is the first host of the ranking, that
// the removal of a host does not change the order of the other hosts, and that the
// order is the same in all versions.
func TestRendezvousHashing(t *testing.T) {
	hosts := []string{"a", "b", "c", "d", "e"}
	for i := range 100 {
		key := fmt.Sprintf("upstream#%d", i)
		ranked := Rank(key, hosts)
		require.ElementsMatch(t, hosts, ranked)
		require.Equal(t, ranked[0], owner(key, hosts))
		var remaining []string
		for _, h := range hosts {
			if h != ranked[0] {
				remaining = append(remaining, h)
			}
		}
		require.Equal(t, ranked[1:], Rank(key, remaining))
	}
	require.Empty(t, owner("key", nil))
	require.Equal(t, []string{"c", "a", "b", "d", "e"}, Rank("upstream#0", hosts))
}

func TestWithStateOfAnUnknownHostChangesNothing(t *testing.T) {
	r := rosterOf(3, "a")
	require.Equal(t, r, r.WithState("b", Dead))
	require.Equal(t, uint64(4), r.WithState("a", Dead).Epoch)
	require.Equal(t, Active, r.Members[0].State, "a roster must not be modified")
}
