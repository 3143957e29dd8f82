package loadmodel

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"
)

// call is what a client wants: one response, over its tries.
type call struct {
	model *Model
	route *Route
	zone  *place
	// object is what it is about; empty without objects.
	object string
	sent   time.Time
	tries  int
}

// source sends the calls of a route from a zone. It has random numbers of its own,
// so that all variants get the same calls.
type source struct {
	model  *Model
	route  *Route
	zone   *place
	random *rand.Rand
}

// next sends the next call, and so on until the end.
func (s *source) next() {
	m := s.model
	pause := s.random.ExpFloat64() / max(minRate, m.rate(s.route, s.zone))
	m.clock.in(time.Duration(pause*float64(time.Second)), func() {
		if m.clock.now.After(m.end) {
			return
		}
		c := &call{model: m, route: s.route, zone: s.zone, object: s.object(), sent: m.clock.now}
		c.try()
		s.next()
	})
}

// object picks one of the objects that the clients of the zone's region ask for.
func (s *source) object() string {
	if s.route.Objects == 0 {
		return ""
	}
	return s.route.Name + "/" + s.zone.Region + "/" + strconv.Itoa(s.random.IntN(s.route.Objects))
}

// minRate keeps the arrivals of a zone without load going, in requests a second,
// as its load may change.
const minRate = 0.01

// rate is the requests a second of a route from a zone now.
func (m *Model) rate(r *Route, z *place) float64 {
	rate := r.Rate * z.Load / m.load * z.factor
	if r.Period > 0 {
		turn := m.clock.now.Sub(m.begin).Seconds()/time.Duration(r.Period).Seconds() + z.Phase
		rate *= 1 + r.Swing*math.Sin(2*math.Pi*turn)
	}
	return rate
}

// left is how long the client still waits.
func (c *call) left() time.Duration {
	return time.Duration(c.route.Deadline) - c.model.clock.now.Sub(c.sent)
}

// try sends the call to a host of the client's zone.
func (c *call) try() {
	c.tries++
	host := c.zone.hosts[c.model.random.IntN(len(c.zone.hosts))]
	c.model.clock.in(c.model.delay.client, func() { host.serve(c) })
}

// served is told that the response is on its way.
func (c *call) served() {
	c.model.clock.in(c.model.delay.client, func() {
		took := c.model.clock.now.Sub(c.sent)
		if took > time.Duration(c.route.Deadline) {
			c.model.result.add(c, gaveUp, took)
			return
		}
		c.model.result.add(c, answered, took)
	})
}

// refused is told that the call did not run, and when to return. The client waits
// as told, up to a third of the time that it has left.
func (c *call) refused(pause time.Duration) {
	c.model.clock.in(c.model.delay.client, func() {
		wait := min(pause, c.left()/3)
		if c.tries > c.route.Returns || wait <= 0 {
			c.model.result.add(c, rejected, 0)
			return
		}
		c.model.clock.in(wait, c.try)
	})
}

// failed is told that the call may have run. A repeatable one is tried again.
func (c *call) failed() {
	c.model.clock.in(c.model.delay.client, func() {
		if c.route.Repeatable && c.tries <= c.route.Returns && c.left() > 0 {
			c.try()
			return
		}
		c.model.result.add(c, broken, 0)
	})
}
