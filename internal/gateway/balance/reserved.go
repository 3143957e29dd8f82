package balance

import "time"

// maxReservedChangePerSecond bounds how fast the reserved fractions change, as a fraction
// of a region's requests per second. When an operator changes the limit or the regions of
// an account, only few requests at once may move to another region, because their objects
// are not warm on the upstreams there. The bound is below half of the 0.15 in 2 s that
// users allow.
const reservedStep = 0.03

// reservations are the fractions of capacity that requests bound to a region need there,
// by region. Requests that may be served anywhere leave this capacity to the bound
// requests.
//
// Without reservations, a region with a tenth of the upstreams and a third of the clients
// served, by its capacity alone, three tenths of its unbound requests itself, in addition
// to all requests bound to it. This was twice its capacity, all day long, and the bound
// requests waited in full queues.
type reservations struct {
	parts map[string]float64
	at    time.Time
}

// update moves the fractions towards those of a query and returns them. It returns none
// for a request that is bound itself.
func (r *reservations) follow(q Query, regions int) map[string]float64 {
	if q.Allows != nil {
		return nil
	}
	// A region has 1/regions of all requests, so its fraction of all requests changes by
	// that much less.
	step := reservedStep / float64(max(1, regions)) * max(0, q.Now.Sub(r.at).Seconds())
	if r.parts == nil {
		r.parts, step = map[string]float64{}, 1 // nothing has been moved yet
	}
	r.at = q.Now
	for region := range r.parts {
		r.move(region, q.Reserved[region], step)
	}
	for region, part := range q.Reserved {
		r.move(region, part, step)
	}
	return r.parts
}

func (r *reservations) move(region string, to, step float64) {
	from := r.parts[region]
	r.parts[region] = max(from-step, min(from+step, to))
}
