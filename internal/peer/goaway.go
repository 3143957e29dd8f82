package peer

import (
	"context"
	"time"

	"cairndock/internal/pause"
)

const (
	// servingPollInterval is the interval at which GoAway checks whether the
	// streams opened by peers have ended.
	servingPollInterval = 20 * time.Millisecond
	// disconnectTimeout is how long Mesh.Close waits for peers that received a
	// go-away to close their connections. Closing a connection with unread
	// bytes may discard the go-away frame before the peer reads it.
	disconnectTimeout = time.Second
)

// GoAway notifies peers that this host accepts no more streams, stops accepting
// connections, and waits until the streams that peers opened before have ended
// or ctx ends. The opener of a later stream gets ErrNotSent. Peers of an older
// version are not notified and are served as before. Streams opened by this
// host are not affected.
func (m *Mesh) GoAway(ctx context.Context) {
	m.mu.Lock()
	m.goingAway = true
	m.closeListener()
	for c := range m.accepted {
		c.goAway()
	}
	m.mu.Unlock()
	for m.isServing() && pause.For(ctx, servingPollInterval) {
	}
}

// isServing reports whether a stream opened by a peer is still being served. A
// stream counts as soon as its open frame is read, before the handler runs.
func (m *Mesh) isServing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.accepted {
		if c.isServing() {
			return true
		}
	}
	return false
}

// awaitDisconnect waits until peers have closed the connections that serve no
// more streams, for at most disconnectTimeout.
func awaitDisconnect(conns []*conn) {
	timeout := time.After(disconnectTimeout)
	for _, c := range conns {
		if !c.isDrained() {
			continue
		}
		select {
		case <-c.closed:
		case <-timeout:
			return
		}
	}
}

// goAway refuses the streams that the peer opens from now on and sends the peer
// the ID of the last accepted stream. The lock also covers the reading of
// frames, so the ID proves that later streams did not run.
func (c *conn) goAway() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed != nil || c.goingAway || !c.remote.GoAway {
		return
	}
	c.goingAway = true
	last := c.lastPeerID
	c.wg.Go(func() {
		// An error is ignored, because the connection is then broken, which the
		// peer detects.
		_ = c.write(&frame{Type: frameGoAway, ID: last})
	})
}

// isServing reports whether a stream opened by the peer is still being served.
func (c *conn) isServing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.serving) > 0
}

// isDrained reports whether the peer was sent a go-away and has all its
// responses.
func (c *conn) isDrained() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.goingAway && len(c.serving) == 0
}

// handleGoAway retires the connection when the peer goes away. Streams up to
// the ID last were accepted by the peer and continue. Later streams did not
// run.
func (c *conn) handleGoAway(last uint64) {
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
