package httpserver

import "time"

const (
	// defaultHeader bounds the reading of a request's header where the limits
	// say nothing. Chosen, not measured.
	defaultHeader = 5 * time.Second
	// defaultIdle bounds the idle time of a connection where the limits say
	// nothing. Chosen, not measured.
	defaultIdle = 60 * time.Second
	// drainIdle is how long connections are still accepted, and idle ones read,
	// when the server drains, so that a request that has arrived is answered
	// rather than reset with its connection. Chosen, not measured: far above the time that a busy
	// host takes to run a goroutine, and little beside a drain.
	drainIdle = 50 * time.Millisecond
	// drainFresh is how long after its accept a new connection is read when the
	// server drains. Chosen, not measured: its client sends the first request
	// within a round trip, 70 ms between the farthest regions. A longer time
	// would take from that in which requests are finished.
	drainFresh = 200 * time.Millisecond
	// acceptRetry is the time between two tries to accept a connection while the
	// process is short of descriptors or memory. Chosen, not measured.
	acceptRetry = 20 * time.Millisecond
	// starvedIdle is how long a connection may be idle meanwhile: clients that
	// come in quick succession keep theirs. Chosen, not measured.
	starvedIdle = time.Second
	// lastRead is the deadline of a read of what has arrived already. It only
	// has to lie ahead when the read begins; chosen, not measured.
	lastRead = time.Millisecond
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
