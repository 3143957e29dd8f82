package slot_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/slot"
)

// model is the expected state against which a random history is checked.
type model struct {
	specs       []slot.Spec
	inFlight    int
	leases      []slot.Lease
	outstanding map[string]int
}

func (m *model) spec(name string) slot.Spec {
	for _, s := range m.specs {
		if s.Name == name {
			return s
		}
	}
	return slot.Spec{}
}

func (m *model) configure(p *slot.Pool, r *rand.Rand) {
	m.specs = nil
	rule := slot.RuleSpec{Name: "r", InFlight: r.IntN(24) - 1, Rate: -1}
	m.inFlight = rule.InFlight
	for i := range 5 {
		if r.IntN(6) == 0 {
			continue
		}
		rule.Upstreams = append(rule.Upstreams, int32(len(m.specs)))
		m.specs = append(m.specs, slot.Spec{Name: fmt.Sprint(i), Held: r.IntN(6), Leaving: r.IntN(6) == 0})
	}
	p.Configure(m.specs, []slot.RuleSpec{rule})
}

func (m *model) take(t *testing.T, p *slot.Pool, now int64) {
	lease, refusal := p.Take("r", now)
	if refusal != slot.Granted {
		return
	}
	s := m.spec(lease.Upstream())
	require.False(t, s.Leaving, "a new request went to a leaving upstream")
	m.leases = append(m.leases, lease)
	m.outstanding[s.Name]++
	require.LessOrEqual(t, m.outstanding[s.Name], s.Held, "more requests are outstanding than slots are held")
	if m.inFlight >= 0 {
		require.LessOrEqual(t, len(m.leases), m.inFlight)
	}
}

func (m *model) release(p *slot.Pool, r *rand.Rand, now int64) {
	if len(m.leases) == 0 {
		return
	}
	i := r.IntN(len(m.leases))
	lease := m.leases[i]
	m.leases = append(m.leases[:i], m.leases[i+1:]...)
	m.outstanding[lease.Upstream()]--
	outcomes := []slot.Outcome{slot.Success, slot.Success, slot.Success, slot.Shed, slot.Failure, slot.Unused}
	p.Release(lease, outcomes[r.IntN(len(outcomes))], time.Duration(1+r.IntN(50))*time.Millisecond, now)
}

func (m *model) check(t *testing.T, p *slot.Pool, now int64) {
	within, held := true, 0
	for name, n := range m.outstanding {
		require.Equal(t, n, p.Outstanding(name))
		within = within && n <= m.spec(name).Held
	}
	for _, s := range m.specs {
		if !s.Leaving {
			held += s.Held
		}
	}
	require.Equal(t, within, p.WithinHeld())
	gotHeld, gotOut := p.Usage()
	require.Equal(t, held, gotHeld)
	require.Equal(t, len(m.leases), gotOut)
	l := p.Load(now)
	require.Equal(t, held, l.Held)
	require.Equal(t, len(m.leases), l.Outstanding)
	require.LessOrEqual(t, l.Free, l.Warm)
	require.LessOrEqual(t, l.Warm, l.Held)
	require.GreaterOrEqual(t, l.Free, 0)
}

// TestLimitsHoldAtEachStep runs random histories of requests, outcomes and
// configuration changes and checks all limits and sums after each step.
func TestLimitsHoldAtEachStep(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(20261202, seed))
		p, now := slot.NewPool(), start
		m := &model{outstanding: map[string]int{}}
		m.configure(p, r)
		for range 400 {
			now += int64(r.IntN(20)) * int64(time.Millisecond)
			switch r.IntN(20) {
			case 0:
				m.configure(p, r)
			case 1:
				p.Restarted(fmt.Sprint(r.IntN(5)))
			case 2:
				p.Report(fmt.Sprint(r.IntN(5)), r.Float64(), now)
			case 3, 4, 5, 6, 7, 8, 9:
				m.release(p, r, now)
			default:
				m.take(t, p, now)
			}
			m.check(t, p, now)
		}
	}
}
