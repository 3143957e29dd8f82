package route

import "github.com/cespare/xxhash/v2"

// Pick gives the backend of a request by its id, so that over many requests
// each backend receives its weight's share, and that every host and every
// repeat of one request comes to the same backend.
func (r *Route) Pick(requestID string) string {
	if len(r.Backends) == 1 {
		return r.Backends[0].Service
	}
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	if total <= 0 {
		return r.Backends[0].Service
	}
	point := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, b := range r.Backends {
		if point < b.Weight {
			return b.Service
		}
		point -= b.Weight
	}
	return r.Backends[0].Service
}
