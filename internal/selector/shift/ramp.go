package shift

import "time"

const (
	// paceDecreaseFactor is the factor by which each refusal at a rule's upstreams
	// reduces the rule's pace.
	paceDecreaseFactor = 0.5
	// minPace is the minimum pace, so that a ramp makes progress despite repeated
	// refusals.
	minPace = 1.0 / 64
	// paceIncreasePerSecond is the increase of the pace per second. From minPace to
	// 1 the pace takes about 10 s.
	paceIncreasePerSecond = 0.1
)

// Adopt sets the current shares of rules with a ramp to the shares that another host
// of the zone has reached, so that a starting host continues the ramp from there.
func (m *Meter) Adopt(shares map[string]float64) {
	for i := range m.rules {
		r := &m.rules[i]
		if v, ok := shares[r.Name]; ok && r.Ramp > 0 {
			r.current = min(max(0, v), r.Cap)
		}
	}
}

// Shares returns the current share of each rule, by name.
func (m *Meter) Shares() map[string]float64 {
	out := make(map[string]float64, len(m.rules))
	for _, r := range m.rules {
		out[r.Name] = r.current
	}
	return out
}

// Advance moves the shares along their ramps. If frozen is true, the shares do not
// move, because the host's configuration may be out of date.
func (m *Meter) Advance(now time.Time, frozen bool) {
	if frozen {
		m.advancedAt = now
		return
	}
	m.moveShares(now)
}

// moveShares moves each share with a ramp toward its target, by at most Ramp times
// pace times the time since the last call.
func (m *Meter) moveShares(now time.Time) {
	elapsed := now.Sub(m.advancedAt).Seconds()
	m.advancedAt = now
	for i := range m.rules {
		r := &m.rules[i]
		step := r.Ramp * r.pace * elapsed
		r.pace = min(1, r.pace+paceIncreasePerSecond*elapsed)
		if r.Ramp > 0 {
			r.current += max(-step, min(step, r.Share-r.current))
		}
	}
}

// Slow reduces the pace of a rule's ramp after the rule's upstreams refused a request
// or had no free slot for it.
func (m *Meter) Slow(rule string) {
	if i := m.Index(rule); i >= 0 {
		m.rules[i].pace = max(minPace, m.rules[i].pace*paceDecreaseFactor)
	}
}
