// Package payload measures how many bytes the requests of each route carry, in both
// directions. A choice of an upstream weighs the cost of sending these bytes to another
// availability zone.
//
// Sizes owns the measurements of one host. They are neither stored nor shared, because a
// host learns them anew within minSamples requests of a route.
package payload

import "sync"

const (
	// meanWeight is the weight of the latest request in the moving mean. The sizes of one
	// route's responses differ by a factor of six, so that a mean over fewer requests would
	// cross a threshold back and forth.
	meanWeight = 1.0 / 256
	// minSamples is the number of requests before the mean of a route is known.
	minSamples = 32
	// maxRoutes bounds the routes that are measured at a time. Beyond it all are measured
	// anew, because configurations add and remove routes all day.
	maxRoutes = 8192
)

// Sizes measures the routes of one host. The zero value is ready to use. It is safe for
// concurrent use.
type Sizes struct {
	mu     sync.Mutex
	routes map[string]*mean
}

// mean is a moving mean that weighs the first samples equally.
type mean struct {
	samples int
	bytes   float64
}

// Record records the size of a request and its response, in bytes without headers.
func (s *Sizes) Record(route string, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.routes[route]
	if m == nil {
		if s.routes == nil || len(s.routes) >= maxRoutes {
			s.routes = map[string]*mean{}
		}
		m = &mean{}
		s.routes[route] = m
	}
	m.samples++
	m.bytes += (float64(bytes) - m.bytes) * max(meanWeight, 1/float64(m.samples))
}

// Mean returns the mean size of a route's requests and responses in bytes, or 0 while it is
// not known.
func (s *Sizes) Mean(route string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.routes[route]
	if m == nil || m.samples < minSamples {
		return 0
	}
	return m.bytes
}
