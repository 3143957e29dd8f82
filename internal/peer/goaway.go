package peer

import (
	"context"
	"time"

	"cairndock/internal/pause"
)

const (
	// servedPoll is the time between two looks whether the streams of peers have
	// ended.
	servedPoll = 20 * time.Millisecond
	// leaveTimeout is how long Mesh.Close waits for peers that were told to go
	// elsewhere to close their connections. Closing with unread bytes may discard
	// what tells them.
	leaveTimeout = time.Second
)

// GoAway tells peers that this host takes no more streams, accepts no more
// connections, and waits until the streams that peers opened before have ended,
// or ctx ends. A stream opened later gets ErrNotSent at its opener. Peers of an
// older version are told nothing and served as before. Streams of this host are
// not concerned.
func (m *Mesh) GoAway(ctx context.Context) {
	m.mu.Lock()
	m.goingAway = true
	m.closeListener()
	for c := range m.accepted {
		c.goAway()
	}
	m.mu.Unlock()
	for m.serves() && pause.For(ctx, servedPoll) {
	}
}

// serves reports whether a stream that a peer opened has not ended. It counts
// from the reading of its frame on, before the handler runs.
func (m *Mesh) serves() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.accepted {
		if c.serves() {
			return true
		}
	}
	return false
}

// awaitLeave waits until the peers of connections that serve nothing more have
// closed them, for leaveTimeout at most.
func awaitLeave(conns []*conn) {
	over := time.After(leaveTimeout)
	for _, c := range conns {
		if !c.isLeft() {
			continue
		}
		select {
		case <-c.closed:
		case <-over:
			return
		}
	}
}

// goAway refuses the streams that the peer opens from now on, and tells it which
// was the last to be taken. Both happen in one step with the reading of frames,
// which makes it proof that the later ones did not run.
func (c *conn) goAway() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed != nil || c.goingAway || !c.remote.GoAway {
		return
	}
	c.goingAway = true
	last := c.lastPeerID
	c.wg.Go(func() {
		// The error is dropped: the connection is then broken, which the peer
		// notices.
		_ = c.write(&frame{Type: frameGoAway, ID: last})
	})
}

// serves reports whether a stream that the peer opened has not ended.
func (c *conn) serves() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.serving) > 0
}

// isLeft reports whether the peer was told to go elsewhere and has all its
// responses.
func (c *conn) isLeft() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.goingAway && len(c.serving) == 0
}

// peerGoesAway leaves the connection to the streams that the peer took: those up
// to an ID. The others did not run.
func (c *conn) peerGoesAway(last uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
	for id, s := range c.streams {
		if id > last {
			s.fail(ErrNotSent)
		}
	}
	c.closeIfUnused()
}
