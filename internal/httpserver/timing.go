package httpserver

import "time"

const (
	// drainIdle is how long connections are still accepted, and idle ones read,
	// when the server drains, so that a request that has arrived is answered
	// rather than reset with its connection: far above the time that a busy host
	// takes to run a goroutine, and little beside a drain.
	drainIdle = 50 * time.Millisecond
	// drainFresh is how long after its accept a new connection is read when the
	// server drains: its client sends the first request within a round trip, 70
	// ms between the farthest regions. A longer time would take from that in
	// which requests are finished.
	drainFresh = 200 * time.Millisecond
	// acceptRetry is the time between two tries to accept a connection while the
	// process is short of descriptors or memory.
	acceptRetry = 20 * time.Millisecond
	// starvedIdle is how long a connection may be idle meanwhile: clients that
	// come in quick succession keep theirs.
	starvedIdle = time.Second
	// shortageOver is for how long there must be room before a shortage is over.
	shortageOver = time.Second
	// lastRead is the deadline of a read of what has arrived already. It has to
	// lie ahead when the read begins, also on a host that gets no processor time
	// in between.
	lastRead = 20 * time.Millisecond
	// drainHeader is how long the rest of a header may take when the server
	// drains: a client that sends a part of one must not hold up a stop: far
	// above a round trip.
	drainHeader = 500 * time.Millisecond
)
