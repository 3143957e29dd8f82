package loadmodel

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"
)

// call is one call of a client with all its tries. It ends with one outcome.
type call struct {
	model *Model
	route *Route
	zone  *zoneState
	// object is the requested object; empty if the route has no objects.
	object string
	sent   time.Time
	tries  int
}

// source generates the calls of a route from a zone. It has a random generator of
// its own, so that all variants get the same calls.
type source struct {
	model  *Model
	route  *Route
	zone   *zoneState
	random *rand.Rand
}

// next schedules the next call. Each call schedules its successor until the end of
// the load.
func (s *source) next() {
	m := s.model
	interval := s.random.ExpFloat64() / max(minArrivalRate, m.rate(s.route, s.zone))
	m.clock.after(time.Duration(interval*float64(time.Second)), func() {
		if m.clock.now.After(m.end) {
			return
		}
		c := &call{model: m, route: s.route, zone: s.zone, object: s.object(), sent: m.clock.now}
		c.try()
		s.next()
	})
}

// object picks one of the objects that the clients of the zone's region request.
func (s *source) object() string {
	if s.route.Objects == 0 {
		return ""
	}
	return s.route.Name + "/" + s.zone.Region + "/" + strconv.Itoa(s.random.IntN(s.route.Objects))
}

// minArrivalRate, in requests per second, keeps arrivals scheduled in a zone without
// load, because the load of the zone may change later.
const minArrivalRate = 0.01

// rate returns the current requests per second of a route from a zone.
func (m *Model) rate(r *Route, z *zoneState) float64 {
	rate := r.Rate * z.Load / m.totalLoad * z.factor
	if r.Period > 0 {
		cycles := m.clock.now.Sub(m.start).Seconds()/time.Duration(r.Period).Seconds() + z.Phase
		rate *= 1 + r.Swing*math.Sin(2*math.Pi*cycles)
	}
	return rate
}

// remaining returns the time until the deadline of the client.
func (c *call) remaining() time.Duration {
	return time.Duration(c.route.Deadline) - c.model.clock.now.Sub(c.sent)
}

// try sends the call to a random host of the client's zone.
func (c *call) try() {
	c.tries++
	host := c.zone.hosts[c.model.random.IntN(len(c.zone.hosts))]
	c.model.clock.after(c.model.delay.client, func() { host.serve(c) })
}

// served delivers a response to the client.
func (c *call) served() {
	c.model.clock.after(c.model.delay.client, func() {
		latency := c.model.clock.now.Sub(c.sent)
		if latency > time.Duration(c.route.Deadline) {
			c.model.result.add(c, timedOut, latency)
			return
		}
		c.model.result.add(c, responded, latency)
	})
}

// refused delivers a refusal: the call did not run, and the host requests a retry
// after the delay. The client waits for the delay, but at most for a third of the
// time that remains until its deadline.
func (c *call) refused(delay time.Duration) {
	c.model.clock.after(c.model.delay.client, func() {
		wait := min(delay, c.remaining()/3)
		if c.tries > c.route.MaxClientRetries || wait <= 0 {
			c.model.result.add(c, rejected, 0)
			return
		}
		c.model.clock.after(wait, c.try)
	})
}

// failed delivers a failure after which the call may have run. The client retries a
// repeatable call at once.
func (c *call) failed() {
	c.model.clock.after(c.model.delay.client, func() {
		if c.route.Repeatable && c.tries <= c.route.MaxClientRetries && c.remaining() > 0 {
			c.try()
			return
		}
		c.model.result.add(c, errored, 0)
	})
}
