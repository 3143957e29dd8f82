package httpserver

import "time"

const (
	// drainIdleGrace is how long the server still accepts connections and reads
	// idle ones after a drain begins, so that a request that has already
	// arrived gets a response instead of a reset. It is far longer than a busy
	// host needs to schedule a goroutine, and short compared with a drain.
	drainIdleGrace = 50 * time.Millisecond
	// drainFreshGrace is how long after its accept a new connection is read
	// while the server drains. Its client sends the first request within a
	// round trip, which takes 70 ms between the regions farthest apart. A
	// longer time would reduce the time that is left to finish requests.
	drainFreshGrace = 200 * time.Millisecond
	// acceptRetryInterval is the interval between attempts to accept a
	// connection while the process is short of descriptors or memory.
	acceptRetryInterval = 20 * time.Millisecond
	// maxClosingWait is how long new connections wait for others that are being closed, and
	// closingPollInterval how often that is checked.
	maxClosingWait      = 200 * time.Millisecond
	closingPollInterval = time.Millisecond
	// maxRoomWait is how long a new connection waits until it has room, and roomPollInterval how
	// often that is checked.
	maxRoomWait      = 100 * time.Millisecond
	roomPollInterval = 5 * time.Millisecond
	// shortageIdleTimeout is the idle timeout of connections during such a
	// shortage. Clients that send requests in quick succession keep their
	// connections.
	shortageIdleTimeout = time.Second
	// shortageEndDelay is how long no accept may fail before a shortage counts
	// as ended.
	shortageEndDelay = time.Second
	// finalReadTimeout is the deadline of a read of bytes that have already
	// arrived. The deadline must not pass before the read begins, even on a
	// host whose process gets no CPU time in between.
	finalReadTimeout = 20 * time.Millisecond
	// drainHeaderTimeout is how long the rest of a header may take while the
	// server drains, because a client that sends only part of a header must not
	// delay a stop. It is far longer than a round trip.
	drainHeaderTimeout = 500 * time.Millisecond
)
