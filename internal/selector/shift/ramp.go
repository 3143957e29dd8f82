package shift

import "time"

const (
	// slowFactor is what each refusal at a rule's upstreams multiplies its pace
	// by.
	slowFactor = 0.5
	// slowest is the least pace, so that a ramp that is refused again and again
	// still moves.
	slowest = 1.0 / 64
	// recovery is what the pace gains in a second: from slowest to 1 takes about
	// 10 s.
	recovery = 0.1
)

// Adopt sets the shares of the rules with ramps to those that another host of
// the zone has reached, so that a starting host joins a ramp where it stands.
func (m *Meter) Adopt(shares map[string]float64) {
	for i := range m.rules {
		r := &m.rules[i]
		if v, ok := shares[r.Name]; ok && r.Ramp > 0 {
			r.current = min(max(0, v), r.Cap)
		}
	}
}

// Shares gives each rule's current share.
func (m *Meter) Shares() map[string]float64 {
	out := make(map[string]float64, len(m.rules))
	for _, r := range m.rules {
		out[r.Name] = r.current
	}
	return out
}

// Advance moves the ramps on, or lets them stand still while the host's
// configuration may be out of date.
func (m *Meter) Advance(now time.Time, frozen bool) {
	if frozen {
		m.movedAt = now
		return
	}
	m.move(now)
}

// move brings each share with a ramp closer to its target, by Ramp times pace
// times the time since the last move at most.
func (m *Meter) move(now time.Time) {
	elapsed := now.Sub(m.movedAt).Seconds()
	m.movedAt = now
	for i := range m.rules {
		r := &m.rules[i]
		step := r.Ramp * r.pace * elapsed
		r.pace = min(1, r.pace+recovery*elapsed)
		if r.Ramp > 0 {
			r.current += max(-step, min(step, r.Share-r.current))
		}
	}
}

// Slow shrinks the pace of a rule's ramp after its upstreams refused a request,
// or had no free slot for it.
func (m *Meter) Slow(rule string) {
	if i := m.Index(rule); i >= 0 {
		m.rules[i].pace = max(slowest, m.rules[i].pace*slowFactor)
	}
}
