package shift

import (
	"math"
	"time"
)

const (
	// slowFactor is what each refusal at a rule's upstreams multiplies the pace
	// of its ramp by. Chosen, not measured.
	slowFactor = 0.5
	// slowest is the least pace of a ramp, as a part of the rule's own. Chosen,
	// not measured.
	slowest = 1.0 / 64
	// recovery is how fast the pace returns, in parts of the rule's own per
	// second: from a standstill in 10 s. Chosen, not measured.
	recovery = 0.1
)

// Adopt sets the shares of the rules with ramps to those that another host of
// the zone has reached, so that a starting host joins a ramp where it stands.
func (m *Meter) Adopt(shares map[string]float64) {
	for i := range m.rules {
		r := &m.rules[i]
		if v, ok := shares[r.Name]; ok && r.Ramp > 0 {
			r.current = math.Min(math.Max(0, v), r.Cap)
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

func (m *Meter) move(now time.Time) {
	elapsed := now.Sub(m.movedAt).Seconds()
	m.movedAt = now
	for i := range m.rules {
		r := &m.rules[i]
		step := r.Ramp * r.pace * elapsed
		r.pace = math.Min(1, r.pace+recovery*elapsed)
		if r.Ramp > 0 {
			r.current = towards(r.current, r.Share, step)
		}
	}
}

// towards moves a share to its target by a step at most.
func towards(share, target, step float64) float64 {
	return share + math.Max(-step, math.Min(step, target-share))
}

// Slow shrinks the pace of a rule's ramp after its upstreams refused a request,
// or had no free slot for it.
func (m *Meter) Slow(rule string) {
	for i := range m.rules {
		if m.rules[i].Name == rule {
			m.rules[i].pace = math.Max(slowest, m.rules[i].pace*slowFactor)
		}
	}
}
