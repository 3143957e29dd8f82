package httpserver

import "time"

const (
	// defaultHeader bounds the reading of a request's header where the limits
	// say nothing.
	defaultHeader = 5 * time.Second
	// defaultIdle bounds the idle time of a connection where the limits say
	// nothing.
	defaultIdle = 60 * time.Second
)

// Limits bound what a client's connection may take. Zero stands for the
// package's default.
type Limits struct {
	// Header is the longest time for a request's header, and for the first byte
	// on a new connection.
	Header time.Duration
	// Idle is the longest time between two requests.
	Idle time.Duration
}

func (l Limits) header() time.Duration {
	if l.Header <= 0 {
		return defaultHeader
	}
	return l.Header
}

func (l Limits) idle() time.Duration {
	if l.Idle <= 0 {
		return defaultIdle
	}
	return l.Idle
}
