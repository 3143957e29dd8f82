package quota

import (
	"math"
	"time"
)

// meterOver is the time over which a rate is averaged: long enough that single requests
// don't count, short enough that clients that move are followed within a second.
const meterOver = time.Second

// meter is a rate, averaged with exponentially falling weights. The zero value is none.
type meter struct {
	rate float64
	at   time.Time
}

// add counts an event now.
func (m *meter) add(now time.Time) {
	m.rate = m.perSecond(now) + 1/meterOver.Seconds()
	m.at = now
}

// perSecond is the rate now, in events a second.
func (m *meter) perSecond(now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}
	return m.rate * math.Exp(-max(0, now.Sub(m.at).Seconds())/meterOver.Seconds())
}
