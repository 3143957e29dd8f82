package peer

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// A connection may go silent permanently without a reset, while new connections
// to the same peer work. TCP does not detect this if a middlebox acknowledges
// the segments or if the process of the peer is stuck. The dialing end
// therefore sends pings, to which the peer responds at once. If nothing is
// received, the dialing end first stops using the connection for new requests,
// and each end closes it later. Only the dialing end opens streams, and it
// pings as long as a stream is open, so a peer or body that takes long does not
// count as silent.
const (
	// pingInterval is the interval between pings while a stream is open.
	pingInterval = 500 * time.Millisecond
	// retireThreshold is the number of consecutive pings without any bytes
	// received within pingInterval after which new requests use another
	// connection. Pings are counted instead of measuring time, because a host
	// that was paused must not mistake its own pause for silence of the peer.
	retireThreshold = 4
	// closeThreshold is the number of such pings (10 s) after which the
	// connection is closed and its open streams end. It is higher than
	// retireThreshold because a peer that was paused for some seconds still
	// responds to these streams.
	closeThreshold = 20
	// silenceTimeout is the time from the opening of a stream until the
	// connection is retired. The first ping is sent one pingInterval after the
	// opening. A gateway also considers a peer dead after the same time without
	// a message, 2.5 s. It is also the write timeout for each chunk of a frame.
	silenceTimeout = (1 + retireThreshold) * pingInterval
	// idlePingInterval is the interval between pings without an open stream, so
	// that a silent connection is usually detected before a request needs it.
	idlePingInterval = 15 * time.Second
	// acceptedCheckInterval is the interval at which the accepting end checks
	// whether bytes were received. It is longer than pingInterval because the
	// end that waits for a response detects silence sooner.
	acceptedCheckInterval = 2500 * time.Millisecond
	// servingTimeout is the maximum time without received bytes while a stream
	// is served. It is ten ping intervals, so that a slow opener is not cut
	// off.
	servingTimeout = 2 * acceptedCheckInterval
	// acceptedTimeout is the maximum time without received bytes while no
	// stream is served. It is three times idlePingInterval.
	acceptedTimeout = 18 * acceptedCheckInterval
)

// errSilent reports that nothing was received on a connection for too long.
var errSilent = eris.New("no bytes received within the keep-alive timeout")

// role states whether this host dialed or accepted a connection.
type role uint8

const (
	dialed role = iota
	accepted
)

// keepAlive detects that a connection is silent.
type keepAlive struct {
	role role
	// received is set when bytes were received and cleared by each check.
	received atomic.Bool
	// ponging is set while the response to a ping waits to be written.
	ponging atomic.Bool

	// conn.mu guards the fields below.

	// timer runs conn.checkSilence. It is nil if the peer does not support
	// keep-alive.
	timer *time.Timer
	// frequent is set while the dialing end checks once per pingInterval.
	frequent bool
	// missed is the number of consecutive checks without received bytes. At the
	// dialing end, only checks after a completed ping are counted.
	missed int
	// pinging is set while a ping is being written, and pinged when a ping was
	// written since the last check. A ping that waits behind another frame does
	// not count as silence, because that write has its own timeout.
	pinging, pinged bool
}

// activityReader reads from a connection and records that bytes were received.
type activityReader struct {
	io.Reader
	received *atomic.Bool
}

// Read implements io.Reader.
func (r activityReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.received.Store(true)
	}
	return n, err
}

// startKeepAlive starts the checks if the peer supports keep-alive.
func (c *conn) startKeepAlive() {
	if !c.remote.KeepAlive {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed != nil {
		return
	}
	interval := idlePingInterval
	if c.keepAlive.role == accepted {
		interval = acceptedCheckInterval
	}
	c.keepAlive.timer = time.AfterFunc(interval, c.checkSilence)
}

// startFrequentChecks switches to checks at pingInterval when a stream is
// opened; c.mu is held.
func (c *conn) startFrequentChecks() {
	k := &c.keepAlive
	if k.timer == nil || k.frequent {
		return
	}
	k.frequent = true
	k.received.Store(false)
	k.timer.Reset(pingInterval)
}

// stopFrequentChecks ends the frequent checks after the last stream has ended
// if bytes were received since the last check; c.mu is held. Otherwise the
// checks continue until it is known whether the connection works, even if its
// streams are very short.
func (c *conn) stopFrequentChecks() {
	k := &c.keepAlive
	if !k.frequent || len(c.streams) > 0 || !k.received.Load() {
		return
	}
	k.frequent = false
	k.missed = 0
	k.timer.Reset(idlePingInterval)
}

// checkSilence counts the checks without received bytes, and retires or closes
// the connection when there were too many.
func (c *conn) checkSilence() {
	c.mu.Lock()
	if c.failed != nil {
		c.mu.Unlock()
		return
	}
	k := &c.keepAlive
	received := k.received.Swap(false)
	switch {
	case received:
		k.missed = 0
	case k.pinged || k.role == accepted:
		k.missed++
	}
	k.pinged = false
	if k.missed >= c.maxMissed() {
		c.mu.Unlock()
		c.fail(errSilent)
		return
	}
	if k.role == dialed && k.missed >= retireThreshold {
		c.retired = true
		c.closeIfUnused()
	}
	if c.failed != nil {
		c.mu.Unlock()
		return
	}
	ping := c.scheduleCheck(received)
	c.mu.Unlock()
	if ping {
		c.ping()
	}
}

// maxMissed returns the number of consecutive checks without received bytes
// after which the connection is closed; c.mu is held.
func (c *conn) maxMissed() int {
	switch {
	case c.keepAlive.role == dialed:
		return closeThreshold
	case len(c.serving) > 0:
		return int(servingTimeout / acceptedCheckInterval)
	default:
		return int(acceptedTimeout / acceptedCheckInterval)
	}
}

// scheduleCheck sets the timer for the next check and reports whether to send a
// ping; c.mu is held. A ping without an open stream makes the checks frequent
// until bytes are received.
func (c *conn) scheduleCheck(received bool) (ping bool) {
	k := &c.keepAlive
	if k.role == accepted {
		k.timer.Reset(acceptedCheckInterval)
		return false
	}
	if k.frequent && len(c.streams) == 0 && received {
		k.frequent = false
		k.timer.Reset(idlePingInterval)
		return false
	}
	k.frequent = true
	k.timer.Reset(pingInterval)
	if k.pinging {
		return false
	}
	k.pinging = true
	c.wg.Add(1) // the read loop still runs, because the connection has not failed
	return true
}

// ping sends a ping. scheduleCheck has set pinging and added to wg for it.
func (c *conn) ping() {
	defer c.wg.Done()
	// An error is ignored, because the connection is then broken, which the
	// read loop detects.
	_ = c.write(&frame{Type: framePing})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keepAlive.pinging, c.keepAlive.pinged = false, true
}

// pong responds to a ping without blocking the read loop that calls it. While one response waits
// to be written, it also stands for later pings.
func (c *conn) pong() {
	if c.keepAlive.ponging.Swap(true) {
		return
	}
	c.wg.Go(func() {
		c.writeToken <- struct{}{}
		defer func() { <-c.writeToken }()
		c.keepAlive.ponging.Store(false) // a ping from now on gets its own response
		// An error is ignored for the same reason as in ping.
		_ = c.writeLocked(&frame{Type: framePong, Offset: hostClock.reading(time.Now())})
	})
}
