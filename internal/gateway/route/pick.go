package route

import "github.com/cespare/xxhash/v2"

// Pick returns the service of the backend that serves a request. It depends on
// the request's id only, so every host and every attempt picks the same one,
// and over many requests each backend gets the part that its weight gives it.
// Without any weight the first backend serves all.
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
	return r.backendAt(int(xxhash.Sum64String(requestID) % uint64(total)))
}

// backendAt returns the service at a point of the range from 0 to the sum of
// the weights, in which each backend has a part as long as its weight.
func (r *Route) backendAt(point int) string {
	for _, b := range r.Backends {
		if point < b.Weight {
			return b.Service
		}
		point -= b.Weight
	}
	return r.Backends[0].Service
}
