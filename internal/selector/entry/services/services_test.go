package services

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/entry/configtest"
	"cairndock/internal/selector/slot"
	"cairndock/internal/selector/steer"
)

const doc = configtest.Planning + `
[[service]]
name = "documents"
timeout = "1s"
max_timeout = "60s"
[[rule]]
name = "all"
service = "planning"
selector = ""
share = 0.5
ramp = 0.01
[[rule]]
name = "rest"
service = "planning"
selector = ""
share = 0.5
ramp = 0.01
`

func newSet(t *testing.T) *Set {
	view := configtest.View(t, doc)
	s := NewSet(view, func() float64 { return 0.5 })
	for _, svc := range view().Services() {
		s.Get(svc.Name).Decide(func(d *steer.Decider) { d.Configure(svc, "costa-a", "costa", time.Now()) })
	}
	return s
}

// hold configures the slots that this host holds at the upstream of the service
// planning.
func hold(s *Set, held int) {
	s.Get("planning").Gate.Configure([]slot.Spec{{Name: "up-1", Held: held}},
		[]slot.RuleSpec{{Name: "all", Upstreams: []int32{0}, InFlight: -1, Rate: -1}})
}

// TestTakenSlotsAreCounted checks that a slot that is reassigned while a request uses it
// stays outstanding, and that WithinHeld is false until the slot is released.
func TestTakenSlotsAreCounted(t *testing.T) {
	s := newSet(t)
	hold(s, 1)
	require.Zero(t, s.Outstanding())
	gate := s.Get("planning").Gate
	lease, refusal := gate.Acquire(t.Context(), "all", time.Time{})
	require.Equal(t, slot.Granted, refusal)
	require.Equal(t, 1, s.Outstanding())
	require.True(t, s.WithinHeld())
	hold(s, 0)
	require.False(t, s.WithinHeld(), "the slot belongs to another host now")
	gate.Release(lease, slot.Unused, 0)
	require.True(t, s.WithinHeld())
}

// TestSharesAreAdoptedOnce checks that shares of a second host do not change ramps that
// have already started on this host.
func TestSharesAreAdoptedOnce(t *testing.T) {
	s := newSet(t)
	s.AdoptShares(nil)
	s.AdoptShares(map[string]float64{"all": 0.25, "rest": 0.75})
	require.Equal(t, map[string]float64{"all": 0.25, "rest": 0.75}, s.Shares())
	s.AdoptShares(map[string]float64{"all": 0.75, "rest": 0.25})
	require.Equal(t, map[string]float64{"all": 0.25, "rest": 0.75}, s.Shares())
}

// TestMaxTimeoutIsOfAllServices checks that MaxTimeout covers all services. A reassigned
// slot stays unused for that time, the longest deadline that any request can have.
func TestMaxTimeoutIsOfAllServices(t *testing.T) {
	require.Equal(t, time.Minute, newSet(t).MaxTimeout())
}
