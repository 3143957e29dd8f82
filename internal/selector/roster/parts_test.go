package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// settled makes a holder at which a roster of some hosts is settled.
func settled(t *testing.T, host string, hosts ...string) *Holder {
	t.Helper()
	now := time.Now()
	h := NewHolder(host, host+"-1", "z")
	h.Observe(rosterOf(1, hosts...), now)
	for _, other := range hosts {
		h.Ack(other, other+"-1", 1)
	}
	require.True(t, h.Settle(now, longest))
	require.True(t, h.Settled())
	return h
}

// TestPartsAddUpToTheWhole: each unit of a limit that a zone shares is in one
// host's part, and rates are split evenly.
func TestPartsAddUpToTheWhole(t *testing.T) {
	hosts := []string{"a", "b", "c"}
	for _, units := range []int{0, 1, 3, 100} {
		sum, rate := 0, 0.0
		for _, name := range hosts {
			h := settled(t, name, hosts...)
			sum += h.Part("rule:r", units, longest, time.Now())
			rate += h.Fraction(time.Now(), longest)
		}
		require.Equal(t, units, sum)
		require.InDelta(t, 1, rate, 1e-9)
	}
}

// TestPartsWhileARosterIsNotSettled: until a change is settled a host has only
// what it has both before and after it.
func TestPartsWhileARosterIsNotSettled(t *testing.T) {
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
			before := settled(t, "a", tc.before...).Part("k", units, longest, now)
			after := 0
			if tc.fraction > 0 {
				after = settled(t, "a", tc.next...).Part("k", units, longest, now)
			}
			h := settled(t, "a", tc.before...)
			h.Observe(rosterOf(2, tc.next...), now)
			require.False(t, h.Settled())
			require.Equal(t, min(before, after), h.Part("k", units, longest, now))
			require.InDelta(t, tc.fraction, h.Fraction(now, longest), 1e-9)
		})
	}
}

func TestOnlyTheActiveIncarnationHasAPart(t *testing.T) {
	now := time.Now()
	for name, r := range map[string]Roster{
		"no member":           rosterOf(1, "b"),
		"another incarnation": rosterOf(1).WithMember(Member{Host: "a", Incarnation: "a-2", State: Active}),
		"leaving":             rosterOf(1, "a").WithState("a", Leaving),
	} {
		h := NewHolder("a", "a-1", "z")
		h.Observe(r, now)
		h.Ack("b", "b-1", r.Epoch)
		h.Settle(now, longest)
		require.Zero(t, h.Part("k", 100, longest, now), name)
		require.Zero(t, h.Fraction(now, longest), name)
		require.Zero(t, h.Held("up", 64, longest, now), name)
	}
}

// TestSettleStepChangesWhenSlotsMayBecomeUsable: services settle one by one, by
// their deadlines since the last death.
func TestSettleStepChangesWhenSlotsMayBecomeUsable(t *testing.T) {
	now := time.Now()
	h := NewHolder("a", "a-1", "z")
	h.Observe(rosterOf(1, "a", "b"), now)
	require.Zero(t, h.SettleStep(now), "not acknowledged yet")
	h.Ack("b", "b-1", 1)
	require.Equal(t, 1, h.SettleStep(now))
	require.Equal(t, 1, h.SettleStep(now.Add(time.Hour)), "nobody died")
	h.Settle(now, longest)
	require.Zero(t, h.SettleStep(now), "nothing is left to settle")
	h.Observe(rosterOf(1, "a", "b").WithState("b", Gone), now)
	require.Equal(t, 1, h.SettleStep(now))
	require.Equal(t, 1, h.SettleStep(now.Add(settleTick-1)))
	require.Equal(t, 2, h.SettleStep(now.Add(settleTick)))
	require.Equal(t, 9, h.SettleStep(now.Add(8*settleTick)))
}

// TestRendezvousHashing: the owner is the first of the ranking, the order of the
// others stays when a host goes, and it stays the same in all versions.
func TestRendezvousHashing(t *testing.T) {
	hosts := []string{"a", "b", "c", "d", "e"}
	for i := range 100 {
		key := fmt.Sprintf("upstream#%d", i)
		ranked := Rank(key, hosts)
		require.ElementsMatch(t, hosts, ranked)
		require.Equal(t, ranked[0], owner(key, hosts))
		var left []string
		for _, h := range hosts {
			if h != ranked[0] {
				left = append(left, h)
			}
		}
		require.Equal(t, ranked[1:], Rank(key, left))
	}
	require.Empty(t, owner("key", nil))
	require.Equal(t, []string{"c", "a", "b", "d", "e"}, Rank("upstream#0", hosts))
}

func TestWithStateOfAnUnknownHostChangesNothing(t *testing.T) {
	r := rosterOf(3, "a")
	require.Equal(t, r, r.WithState("b", Gone))
	require.Equal(t, uint64(4), r.WithState("a", Gone).Epoch)
	require.Equal(t, Active, r.Members[0].State, "a roster is immutable")
}
