package balance

import "time"

// reservedStep is how fast, in parts of a region's requests a second, they may move as
// what is reserved changes: a limit or a home that an operator changes must not have many
// go to another region at once, whose upstreams don't know their objects: below half of
// the 0.15 in 2 s that users allow.
const reservedStep = 0.03

// reservations are the parts of capacity that requests which are bound to a region need
// there, by region. Requests that may be served anywhere leave them to those.
//
// A region with a tenth of the upstreams and a third of the clients served, by its
// capacity alone, three tenths of its free requests itself beside all that are bound to
// it: twice what it could, all day long, and the bound ones waited in full queues.
type reservations struct {
	parts map[string]float64
	at    time.Time
}

// follow moves the parts towards those of a query, and returns them; none for a request
// that is bound itself.
func (r *reservations) follow(q Query, regions int) map[string]float64 {
	if q.Allows != nil {
		return nil
	}
	// A part of all requests is as many times that part of one region's.
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
