package steer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/config"
	"cairndock/internal/selector/shift"
	"cairndock/internal/selector/slot"
)

// newDecider returns a decider with one rule over a number of zones. The first
// zone is local.
func newDecider(prefer config.Prefer, zones int) *Decider {
	now := time.Now()
	d := New(shift.NewMeter(func() float64 { return 0 }, now))
	svc := &config.ServiceView{Service: config.Service{Name: "s", Prefer: prefer}}
	rule := config.RuleView{Rule: config.Rule{Name: "r", Share: 1}}
	for i := range zones {
		region := "near"
		if i > 1 {
			region = "far"
		}
		rule.Sites = append(rule.Sites, config.Site{Zone: zoneName(i), Region: region, Slots: 24})
	}
	svc.Rules = []config.RuleView{rule}
	d.Configure(svc, zoneName(0), "near", now)
	for i := 1; i < zones; i++ {
		rtt := 2 * time.Millisecond
		if i > 1 {
			rtt = 70 * time.Millisecond
		}
		d.SetZone(zoneName(i), Report{}, rtt, true)
	}
	return d
}

func zoneName(i int) string { return fmt.Sprintf("z%03d", i) }

func firstChoice(d *Decider, now int64) string {
	var p Plan
	d.Begin(&p)
	c, _ := d.Next(&p, now)
	return c.Zone
}

func TestZoneChoice(t *testing.T) {
	const now = int64(time.Hour)
	cases := []struct {
		name    string
		prepare func(d *Decider)
		want    string
	}{
		{"idle: own zone", func(d *Decider) { d.SetLocal(24, 0, 0) }, "z000"},
		{"own zone full: near zone", func(d *Decider) { d.SetLocal(24, 24, 0) }, "z001"},
		{"own and near zone full: the own zone's queue rather than a far zone", func(d *Decider) {
			d.SetLocal(24, 24, 0)
			d.SetZone("z001", Report{Free: 0, Warm: 24, At: now}, 0, true)
		}, "z000"},
		{"own zone full, near zone unreachable, slow upstreams: far zone", func(d *Decider) {
			d.SetLocal(24, 24, 50*time.Millisecond)
			d.SetZone("z001", Report{}, 0, false)
		}, "z002"},
		{"frozen: own zone even if full", func(d *Decider) {
			d.SetLocal(24, 24, 0)
			d.SetFrozen(true)
		}, "z000"},
		{"an old report of a full zone has no weight", func(d *Decider) {
			d.SetLocal(24, 24, 0)
			d.SetZone("z001", Report{Free: 0, Warm: 24, At: now - int64(time.Minute)}, 0, true)
		}, "z001"},
		{"a zone that just refused is treated as full", func(d *Decider) {
			d.SetLocal(24, 20, 0)
			d.Refused("z001", now)
		}, "z000"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d := newDecider(config.PreferLatency, 4)
			tc.prepare(d)
			require.Equal(t, tc.want, firstChoice(d, now))
		})
	}
}

// TestHeadroomMovesToAnotherZoneEarlier checks that a service that prefers headroom
// moves requests away from a loaded zone earlier than a service that prefers latency.
func TestHeadroomMovesToAnotherZoneEarlier(t *testing.T) {
	movesAt := func(prefer config.Prefer) int {
		for out := range 25 {
			d := newDecider(prefer, 2)
			d.SetLocal(24, out, 5*time.Millisecond)
			d.SetZone("z001", Report{Free: 24, Warm: 24, At: int64(time.Hour)}, 0, true)
			if firstChoice(d, int64(time.Hour)) != "z000" {
				return out
			}
		}
		return 25
	}
	require.Less(t, movesAt(config.PreferHeadroom), movesAt(config.PreferLatency))
}

func TestEveryZoneIsChosenOnce(t *testing.T) {
	d := newDecider(config.PreferLatency, 80)
	var p Plan
	d.Begin(&p)
	seen := map[string]bool{}
	for {
		c, ok := d.Next(&p, int64(time.Hour))
		if !ok {
			break
		}
		require.False(t, seen[c.Zone])
		seen[c.Zone] = true
	}
	require.Len(t, seen, 80)
}

// TestRulesChangeDuringARequest guards against counting a request to the wrong rule
// when the rules change between the choice and the commit.
func TestRulesChangeDuringARequest(t *testing.T) {
	d := newDecider(config.PreferLatency, 2)
	var p Plan
	d.Begin(&p)
	c, ok := d.Next(&p, int64(time.Hour))
	require.True(t, ok)
	d.Configure(&config.ServiceView{Service: config.Service{Name: "s"}}, zoneName(0), "near", time.Now())
	require.False(t, d.Commit(&p, c), "the rule has been removed")
	_, ok = d.Next(&p, int64(time.Hour))
	require.False(t, ok)
}

func TestRetryBudget(t *testing.T) {
	b := Budget{share: 0.1}
	retries := 0
	for range 1000 {
		b.arrive()
		for range 3 {
			if b.Take() {
				retries++
			}
		}
	}
	require.LessOrEqual(t, retries, 100)
	require.GreaterOrEqual(t, retries, 99)
}

// BenchmarkDecision measures a complete decision: record the request, choose zone
// and upstream, take the slot, count the request against the cap and release the
// slot.
func BenchmarkDecision(b *testing.B) {
	for _, upstreams := range []int{6, 24, 96} {
		for _, zones := range []int{6, 80} {
			b.Run(fmt.Sprintf("upstreams=%d/zones=%d", upstreams, zones), func(b *testing.B) {
				d := newDecider(config.PreferLatency, zones)
				pool := slot.NewPool()
				specs := make([]slot.Spec, upstreams)
				indexes := make([]int32, upstreams)
				for i := range specs {
					specs[i] = slot.Spec{Name: fmt.Sprint(i), Held: 6}
					indexes[i] = int32(i)
				}
				pool.Configure(specs, []slot.RuleSpec{{Name: "r", Upstreams: indexes, InFlight: -1, Rate: -1}})
				now := int64(time.Hour)
				var p Plan
				b.ReportAllocs()
				for b.Loop() {
					now += 1000
					held, out := pool.Usage()
					d.SetLocal(held, out, time.Millisecond)
					d.Begin(&p)
					c, _ := d.Next(&p, now)
					lease, _ := pool.Take(c.Rule, now)
					d.Commit(&p, c)
					pool.Release(lease, slot.Success, time.Millisecond, now)
				}
			})
		}
	}
}
