package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// usualEvidence is evidence of 1,000 requests of which 4% went to the target.
func usualEvidence() Evidence {
	others := Outcomes{Sent: 960, Ended: 960, Compared: 960, Latency: Histogram{bucketOf(100 * time.Millisecond): 960}}
	return Evidence{Routes: map[string]RouteEvidence{"r": {Target: Outcomes{Sent: 40, Ended: 40}, Others: others}}}
}

func TestTheNextPhase(t *testing.T) {
	const second = int64(1000)
	enough := Upstreams{Count: 30, Capacity: 300, Versions: []string{"v2"}}
	others := Upstreams{Count: 30, Capacity: 300, Versions: []string{"v1"}}
	order := testOrder
	order.Duration = 20 * time.Second
	// at is a situation in a phase that began when the order was given, the given number of
	// seconds ago.
	at := func(p Phase, seconds int64) Situation {
		return Situation{
			Record: Record{Order: order, Phase: p, Fraction: 0.04}, Now: seconds * second, Evidence: usualEvidence(),
			Target: enough, Others: others, Limits: Limits{Fraction: 0.1, Slack: 50},
		}
	}
	with := func(s Situation, change func(*Situation)) Situation {
		change(&s)
		return s
	}
	for _, c := range []struct {
		name      string
		situation Situation
		// want is the next phase.
		want Phase
	}{
		{"a canary lasts for most of the time", at(Canary, 10), Canary},
		{"a canary without faults is followed by the ramp", at(Canary, 18), Ramp},
		{"a bad version is rolled back at once", with(at(Canary, 1), func(s *Situation) { s.Finding.Bad = true }), RolledBack},
		{"a version may turn bad in the last phase", with(at(Shift, 19), func(s *Situation) { s.Finding.Bad, s.Drained = true, true }), RolledBack},
		{"a withdrawn order is rolled back", with(at(Ramp, 1), func(s *Situation) { s.Withdrawn = true }), RolledBack},
		{"a version without upstreams waits", with(at(Canary, 18), func(s *Situation) { s.Target = Upstreams{} }), Canary},
		{"and is rolled back at the end", with(at(Canary, 20), func(s *Situation) { s.Target = Upstreams{} }), RolledBack},
		{"too few upstreams do not get all requests", with(at(Canary, 18), func(s *Situation) { s.Target.Capacity = 2 }), Canary},
		{"and are rolled back at the end", with(at(Canary, 20), func(s *Situation) { s.Target.Capacity = 2 }), RolledBack},
		{"without requests there is nothing against the version", with(at(Canary, 18), func(s *Situation) { s.Evidence = Evidence{} }), Ramp},
		{"few requests without a fault are enough", with(at(Canary, 18), func(s *Situation) {
			s.Evidence = Evidence{Routes: map[string]RouteEvidence{"r": {Others: Outcomes{Sent: 3, Ended: 3}}}}
		}), Ramp},
		{"the only version gets all requests", with(at(Canary, 0), func(s *Situation) { s.Others = Upstreams{} }), Shift},
		{"the ramp is observed", at(Ramp, 1), Ramp},
		{"the ramp is followed by the shift", at(Ramp, 2), Shift},
		{"requests in flight at other versions are completed", at(Shift, 19), Shift},
		{"then the roll-out has succeeded", with(at(Shift, 19), func(s *Situation) { s.Drained = true }), Succeeded},
		{"but not before responses under the whole load", with(at(Shift, 0), func(s *Situation) { s.Drained = true }), Shift},
		{"success is final", with(at(Succeeded, 30), func(s *Situation) { s.Finding.Bad, s.Withdrawn = true, true }), Succeeded},
		{"a roll-back is final", with(at(RolledBack, 30), func(s *Situation) { s.Drained = true }), RolledBack},
	} {
		t.Run(c.name, func(t *testing.T) {
			next, _ := Next(c.situation)
			require.Equal(t, c.want, next.Phase)
			if next.Phase == Succeeded && c.situation.Record.Phase == Shift {
				require.Equal(t, []string{"v1"}, next.Replaced)
			}
		})
	}
}

// Long requests need more time to end, so that the shift must begin earlier.
func TestTheShiftBeginsInTimeForLongRequests(t *testing.T) {
	rampAfter := func(latency, limit time.Duration) time.Duration {
		e := Evidence{Routes: map[string]RouteEvidence{"r": {Others: Outcomes{Latency: Histogram{bucketOf(latency): 100}}}}}
		return Situation{Record: Record{Order: Order{Duration: 20 * time.Second}}, Evidence: e, MaxRequest: limit}.rampAfter()
	}
	require.Greater(t, rampAfter(100*time.Millisecond, 0), rampAfter(time.Second, 0))
	require.GreaterOrEqual(t, rampAfter(time.Second, 100*time.Millisecond), rampAfter(time.Second, 0), "a route's timeout ends its requests")
	require.Equal(t, 10*time.Second, rampAfter(time.Minute, 0))
}

// A fraction of the keys gets another fraction of the requests, and the target must not use
// up its bound before the end.
func TestTheCanaryFollowsWhatItGets(t *testing.T) {
	for _, c := range []struct {
		name         string
		target       int
		fraction     float64
		smaller, any bool
	}{
		{"as intended", 40, 0.04, false, false},
		{"popular keys", 150, 0.04, true, true},
		{"rare keys", 2, 0.04, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := usualEvidence()
			e.Routes["r"] = RouteEvidence{Target: Outcomes{Sent: c.target}, Others: e.Routes["r"].Others}
			next, changed := Next(Situation{
				Record: Record{Order: Order{Duration: time.Minute}, Phase: Canary, Fraction: c.fraction}, Now: 20000, Evidence: e,
				Target: Upstreams{Count: 9, Capacity: 90}, Others: Upstreams{Count: 9, Capacity: 90}, Limits: Limits{Fraction: 0.1},
			})
			require.Equal(t, c.any, changed)
			if changed {
				require.Equal(t, c.smaller, next.Fraction < c.fraction)
			}
		})
	}
}
