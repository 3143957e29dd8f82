package quota

import (
	"math"
	"time"
)

// meterPeriod is the time constant of a meter. It is long enough that single requests
// hardly change the rate, and short enough that the rate follows clients that move between
// hosts within a second.
const meterPeriod = time.Second

// meter is an event rate, averaged with exponentially decreasing weights. The zero value
// is a rate of zero.
type meter struct {
	rate      float64
	updatedAt time.Time
}

// add records an event.
func (m *meter) add(now time.Time) {
	m.rate = m.perSecond(now) + 1/meterPeriod.Seconds()
	m.updatedAt = now
}

// perSecond returns the current rate, in events per second.
func (m *meter) perSecond(now time.Time) float64 {
	if m.updatedAt.IsZero() {
		return 0
	}
	return m.rate * math.Exp(-max(0, now.Sub(m.updatedAt).Seconds())/meterPeriod.Seconds())
}
