package rollout

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/upstream"
)

// versions returns upstreams of one service and region, the given number of each version.
func versions(counts map[string]int) []*upstream.Upstream {
	var all []*upstream.Upstream
	for _, version := range []string{"v0", "v1", "v2", "v3"} {
		for i := range counts[version] {
			all = append(all, &upstream.Upstream{Registration: upstream.Registration{
				ID: fmt.Sprint(version, "-", i), Service: "s", Region: "r", SoftwareVersion: version, Capacity: 4,
			}})
		}
	}
	return all
}

// versionsOf returns the number of upstreams of each version.
func versionsOf(list []*upstream.Upstream) map[string]int {
	counts := map[string]int{}
	for _, u := range list {
		counts[u.SoftwareVersion]++
	}
	return counts
}

var testOrder = Order{Service: "s", Target: "v2", Duration: 12e9, Version: 7}

// Each phase must send requests only to the versions that it allows, and the target must not
// get more than it has to while the state may be outdated.
func TestThePlanOfEachPhase(t *testing.T) {
	all := versions(map[string]int{"v0": 3, "v1": 40, "v2": 20})
	record := func(p Phase, fraction float64) Record {
		return Record{Order: testOrder, Phase: p, Fraction: fraction, Replaced: []string{"v1"}, Excluded: []string{"v0"}}
	}
	type counts = map[string]int
	for _, c := range []struct {
		name                string
		record              Record
		withdrawn, cautious bool
		// inside and outside are the upstreams for keys of the target's fraction and for others.
		inside, outside counts
	}{
		{"canary before any request", record(Canary, 0), false, false, counts{"v1": 40}, counts{"v1": 40}},
		{"canary", record(Canary, 0.2), false, false, counts{"v2": 6}, counts{"v1": 40}},
		{"canary with an outdated state", record(Canary, 0.2), false, true, counts{"v1": 40}, counts{"v1": 40}},
		{"ramp", record(Ramp, 0.75), false, false, counts{"v2": 12}, counts{"v1": 40}},
		{"shift", record(Shift, 0), false, false, counts{"v2": 20}, counts{"v2": 20}},
		{"shift to a target that is bad", record(Shift, 0), false, true, counts{"v1": 40}, counts{"v1": 40}},
		{"succeeded", record(Succeeded, 0), false, false, counts{"v2": 20}, counts{"v2": 20}},
		{"rolled back", record(RolledBack, 0), false, false, counts{"v1": 40}, counts{"v1": 40}},
		{"withdrawn", record(Ramp, 0.2), true, false, counts{"v1": 40}, counts{"v1": 40}},
		{"withdrawn after success", record(Succeeded, 0), true, false, counts{"v2": 20}, counts{"v2": 20}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPlan(c.record, c.withdrawn, c.cautious, all)
			for i := range 200 {
				key := fmt.Sprint("key-", i)
				want := c.outside
				if position(key, testOrder.Version) < c.record.Fraction {
					want = c.inside
				}
				preferred, _ := p.Candidates(key, true)
				require.Equal(t, want, versionsOf(preferred))
				for _, u := range preferred {
					require.True(t, p.Allows(u))
				}
			}
		})
	}
}

func TestOnlyTheFirstAttemptGoesToAnUnprovedVersion(t *testing.T) {
	p := newPlan(Record{Order: testOrder, Phase: Ramp, Fraction: 1}, false, false, versions(map[string]int{"v1": 2, "v2": 2}))
	first, fallback := p.Candidates("key", true)
	require.Equal(t, map[string]int{"v2": 2}, versionsOf(first))
	require.Equal(t, map[string]int{"v1": 2}, versionsOf(fallback))
	retry, _ := p.Candidates("key", false)
	require.Equal(t, map[string]int{"v1": 2}, versionsOf(retry))
}

// A service that has no other version is served by the target.
func TestTheOnlyVersionGetsAllRequests(t *testing.T) {
	p := newPlan(Record{Order: testOrder, Phase: Canary}, false, true, versions(map[string]int{"v2": 2}))
	preferred, _ := p.Candidates("key", true)
	require.Equal(t, map[string]int{"v2": 2}, versionsOf(preferred))
}

// Requests for one object must stay with one version, and the fraction of the keys must be
// the intended one and differ from order to order.
func TestAFractionOfTheKeysGoesToTheTarget(t *testing.T) {
	const keys = 10000
	inside, both := 0, 0
	for i := range keys {
		key := fmt.Sprint(i)
		if position(key, 1) < 0.1 {
			inside++
			if position(key, 2) < 0.1 {
				both++
			}
		}
	}
	require.InDelta(t, 0.1*keys, inside, 100)
	require.InDelta(t, 0.01*keys, both, 40)
}
