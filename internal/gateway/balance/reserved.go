package balance

import "time"

// maxReservedChangePerSecond bounds how fast the reserved fractions change, as a fraction
// of a region's requests per second. When an operator changes the limit or the regions of
// an account, only few requests at once may move to another region, because their objects
// are not warm on the upstreams there. The bound is below half of the 0.15 in 2 s that
// users allow.
const maxReservedChangePerSecond = 0.03

// reservations are the fractions of capacity that requests bound to a region need there,
// by region. Requests that may be served anywhere leave this capacity to the bound
// requests.
//
// Without reservations, a region with a tenth of the upstreams and a third of the clients
// served, by its capacity alone, three tenths of its unbound requests itself, in addition
// to all requests bound to it. This was twice its capacity, all day long, and the bound
// requests waited in full queues.
type reservations struct {
	fractions map[string]float64
	updatedAt time.Time
}

// update moves the fractions towards those of a query and returns them. It returns none
// for a request that is bound itself.
func (r *reservations) update(q Query, regions int) map[string]float64 {
	if q.Allows != nil {
		return nil
	}
	// A region has 1/regions of all requests, so its fraction of all requests may change
	// by maxReservedChangePerSecond divided by the number of regions.
	step := maxReservedChangePerSecond / float64(max(1, regions)) * max(0, q.Now.Sub(r.updatedAt).Seconds())
	if r.fractions == nil {
		r.fractions, step = map[string]float64{}, 1 // the first query sets the fractions at once
	}
	r.updatedAt = q.Now
	for region := range r.fractions {
		r.move(region, q.Reserved[region], step)
	}
	for region, fraction := range q.Reserved {
		r.move(region, fraction, step)
	}
	return r.fractions
}

func (r *reservations) move(region string, to, step float64) {
	from := r.fractions[region]
	r.fractions[region] = max(from-step, min(from+step, to))
}
