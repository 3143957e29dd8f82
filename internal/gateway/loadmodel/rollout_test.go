package loadmodel

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/rollout"
)

// A scenario must show what each version of a roll-out gets and how it ends: a good one replaces
// the other without cutting a request, and a bad one is rolled back within its bound.
func TestRollOutsInAScenario(t *testing.T) {
	for _, c := range []struct {
		name string
		bad  Rollout
	}{
		{"good", Rollout{}},
		{"fails at once", Rollout{Failing: 0.4}},
		{"fails from half of the time on", Rollout{Failing: 0.4, From: duration(10 * time.Second)}},
		{"slow at once", Rollout{SlowPart: 0.6, SlowFactor: 5}},
		{"fails under load", Rollout{Failing: 0.4, Load: 2}},
		{"fails on one route", Rollout{Failing: 0.5, Route: "edit"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s, err := Load("testdata/rollout.toml")
			require.NoError(t, err)
			c.bad.Service, c.bad.At, c.bad.Duration = s.Rollouts[0].Service, s.Rollouts[0].At, s.Rollouts[0].Duration
			s.Rollouts[0] = c.bad
			require.NoError(t, s.check())
			result := Run(s, DefaultVariant(), 1)
			r := result.Rollouts[0]
			t.Logf("%s after %s (%s): %d old, %d new, %.2f of the bound, %d bad, last %s after 50 bad, %d interrupted, %d later",
				r.Phase, r.Took, r.Reason, r.Old, r.New, r.Bound(), r.Bad, r.LatestAfterBad, r.Interrupted, r.Later)
			require.LessOrEqual(t, r.Took, time.Duration(c.bad.Duration))
			require.Zero(t, r.Interrupted+r.Later)
			require.Positive(t, r.New)
			if c.bad.Failing+c.bad.SlowPart == 0 {
				require.Equal(t, rollout.Succeeded, r.Phase)
				return
			}
			require.Equal(t, rollout.RolledBack, r.Phase)
			require.LessOrEqual(t, r.Bound(), 1.0)
			require.LessOrEqual(t, r.LatestAfterBad, 5*time.Second)
			var table bytes.Buffer
			require.NoError(t, Print(&table, []*Result{result}))
			require.Contains(t, table.String(), "rolled-back")
		})
	}
}

// The same scenario and seed must give the same figures, also with a roll-out.
func TestARollOutInAScenarioIsRepeatable(t *testing.T) {
	s, err := Load("testdata/rollout.toml")
	require.NoError(t, err)
	s.Length = duration(8 * time.Second)
	require.Equal(t, Run(s, DefaultVariant(), 1).Rollouts, Run(s, DefaultVariant(), 1).Rollouts)
}

// A roll-out that cannot be simulated must be named, not ignored.
func TestRollOutsThatCannotBeSimulated(t *testing.T) {
	for want, r := range map[string]Rollout{
		"is not defined":         {Service: "x"},
		"duration":               {Service: "s"},
		"failing and slow_part":  {Service: "s", Duration: 1, Failing: 0.6, SlowPart: 0.6},
		"slow_factor must be ab": {Service: "s", Duration: 1, SlowPart: 0.5},
	} {
		require.ErrorContains(t, r.check(map[string]bool{"s": true}), want)
	}
}

// A good version must succeed where first requests for objects, which take three times as long,
// go on for seconds: those of many hosts, each of which has requested few objects before, and
// those of few hosts, which have requested most of them.
func TestAGoodVersionSucceedsBesideManyObjects(t *testing.T) {
	for _, hosts := range []int{2, 15} {
		t.Run(fmt.Sprint(hosts, " hosts in a zone"), func(t *testing.T) {
			t.Parallel()
			s, err := Load("testdata/many-hosts.toml")
			require.NoError(t, err)
			s.Length = duration(26 * time.Second)
			for i := range s.Zones {
				s.Zones[i].Hosts = hosts
			}
			s.Rollouts = []Rollout{{Service: "plans", At: duration(5 * time.Second), Duration: duration(20 * time.Second)}}
			r := Run(s, DefaultVariant(), 1).Rollouts[0]
			require.Equal(t, rollout.Succeeded, r.Phase, "%s after %s: %s", r.Phase, r.Took, r.Reason)
		})
	}
}

// A version that is slow there, at once or while three requests are at an upstream, must be told
// from a good one by the responses to repeated requests and by first ones that take too long.
func TestASlowVersionIsRolledBackBesideManyObjects(t *testing.T) {
	for _, load := range []int{0, 3} {
		t.Run(fmt.Sprint("from a load of ", load, " on"), func(t *testing.T) {
			t.Parallel()
			s, err := Load("testdata/many-hosts.toml")
			require.NoError(t, err)
			s.Length = duration(26 * time.Second)
			s.Rollouts = []Rollout{{Service: "plans", At: duration(5 * time.Second), Duration: duration(20 * time.Second), SlowPart: 0.5, SlowFactor: 4, Load: load}}
			r := Run(s, DefaultVariant(), 1).Rollouts[0]
			require.Equal(t, rollout.RolledBack, r.Phase)
			require.LessOrEqual(t, r.Bound(), 1.0)
			require.LessOrEqual(t, r.LatestAfterBad, 5*time.Second)
		})
	}
}
