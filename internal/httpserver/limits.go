package httpserver

import (
	"cmp"
	"net/http"
	"time"
)

const (
	// defaultHeaderTimeout limits the reading of a request header if Limits
	// sets no value.
	defaultHeaderTimeout = 5 * time.Second
	// defaultIdleTimeout limits the idle time of a connection if Limits sets no
	// value.
	defaultIdleTimeout = 60 * time.Second
)

// Limits are the limits of a client connection. A zero field selects the
// default of the package.
type Limits struct {
	// Header is the maximum time for reading a request header, and for the
	// first byte on a new connection.
	Header time.Duration
	// Idle is the maximum time between two requests.
	Idle time.Duration
	// HeaderBytes is the maximum size of a request header in bytes; zero selects that of the
	// http.Server. A header that exceeds it by 8 KiB is refused before it is complete. The
	// handler refuses others.
	HeaderBytes int
}

func (l Limits) header() time.Duration {
	if l.Header <= 0 {
		return defaultHeaderTimeout
	}
	return l.Header
}

func (l Limits) idle() time.Duration {
	if l.Idle <= 0 {
		return defaultIdleTimeout
	}
	return l.Idle
}

// maxHeader returns the maximum size of a request header in bytes.
func (s *Server) maxHeader() int {
	return cmp.Or(s.limits().HeaderBytes, s.http.MaxHeaderBytes, http.DefaultMaxHeaderBytes)
}
