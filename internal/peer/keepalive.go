package peer

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// A connection may go silent for good without a reset, while new ones work. TCP
// does not show it where a middle box acknowledges, nor where the peer's process
// is stuck. So the end that dialed sends pings, which the peer answers at once; it
// leaves a connection on which it hears nothing, and each end closes it later. Only the dialing
// end opens streams, and it pings as long as one is open: a peer or body that
// takes long is not silent.
const (
	// pingEvery is the time between two pings while a stream is open.
	pingEvery = 500 * time.Millisecond
	// maxUnanswered is how many pings in a row may bring nothing in pingEvery
	// before new requests use another connection. Counted, not timed, as a host
	// that was paused must not take its own pause for the peer's silence.
	maxUnanswered = 4
	// maxSilent is how many it may be, 10 s, before the streams that are open end
	// too: a peer that was paused for some seconds still answers them.
	maxSilent = 20
	// silenceTimeout is what the two make from the opening of a stream on, which
	// is pingEvery before the first ping. After as long a silence, 2.5 s, a
	// gateway's peer counts as dead, too. It is also the time in which a peer
	// must take a part of a frame.
	silenceTimeout = (1 + maxUnanswered) * pingEvery
	// idlePingEvery is the time between two pings without a stream, so that a
	// silent connection is mostly found before a request needs it.
	idlePingEvery = 15 * time.Second
	// acceptedCheckEvery is how often the accepting end looks whether something
	// came: the end that waits for a response finds a silence sooner.
	acceptedCheckEvery = 2500 * time.Millisecond
	// servingTimeout is how long nothing may come while a stream is served: ten
	// pings, so that a slow opener is not cut off.
	servingTimeout = 2 * acceptedCheckEvery
	// acceptedTimeout is how long nothing may come at all: three pings of
	// idlePingEvery.
	acceptedTimeout = 18 * acceptedCheckEvery
)

// errSilent reports that nothing came on a connection for too long.
var errSilent = eris.New("connection is silent")

// role is which end of a connection this host is.
type role uint8

const (
	dialed role = iota
	accepted
)

// keepAlive finds out that a connection is silent.
type keepAlive struct {
	role role
	// heard is set when bytes came, and cleared by each check.
	heard atomic.Bool

	// conn.mu guards what follows.

	// timer runs conn.checkSilence; nil for a peer without keep-alive.
	timer *time.Timer
	// frequent is set while the dialing end checks each pingEvery.
	frequent bool
	// missed is how many checks in a row heard nothing, at the dialing end only
	// such as had a ping to be answered.
	missed int
	// pinging is set while a ping is being written, and pinged when one was since
	// the last check. One that waits behind another frame is no silence: that
	// write has its own bound.
	pinging, pinged bool
}

// listener reads from a connection and notes that something came.
type listener struct {
	io.Reader
	heard *atomic.Bool
}

// Read implements io.Reader.
func (l listener) Read(p []byte) (int, error) {
	n, err := l.Reader.Read(p)
	if n > 0 {
		l.heard.Store(true)
	}
	return n, err
}

// startKeepAlive begins the checks once the peer is known to answer pings.
func (c *conn) startKeepAlive() {
	if !c.remote.KeepAlive {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed != nil {
		return
	}
	every := idlePingEvery
	if c.keepAlive.role == accepted {
		every = acceptedCheckEvery
	}
	c.keepAlive.timer = time.AfterFunc(every, c.checkSilence)
}

// expectFrames makes the checks frequent as a stream is opened; c.mu is held.
func (c *conn) expectFrames() {
	k := &c.keepAlive
	if k.timer == nil || k.frequent {
		return
	}
	k.frequent = true
	k.heard.Store(false)
	k.timer.Reset(pingEvery)
}

// expectNothing ends the frequent checks when the last stream has ended, if the
// peer was heard since the last of them; c.mu is held. Otherwise they go on until
// it is known whether the connection works, however short its streams are.
func (c *conn) expectNothing() {
	k := &c.keepAlive
	if !k.frequent || len(c.streams) > 0 || !k.heard.Load() {
		return
	}
	k.frequent = false
	k.missed = 0
	k.timer.Reset(idlePingEvery)
}

// checkSilence counts a check without a byte, and closes the connection when
// there were too many.
func (c *conn) checkSilence() {
	c.mu.Lock()
	if c.failed != nil {
		c.mu.Unlock()
		return
	}
	k := &c.keepAlive
	heard := k.heard.Swap(false)
	switch {
	case heard:
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
	if k.role == dialed && k.missed >= maxUnanswered {
		c.retired = true
		c.closeIfUnused()
	}
	if c.failed != nil {
		c.mu.Unlock()
		return
	}
	ping := c.scheduleCheck(heard)
	c.mu.Unlock()
	if ping {
		c.ping()
	}
}

// maxMissed is how many checks in a row may hear nothing; c.mu is held.
func (c *conn) maxMissed() int {
	switch {
	case c.keepAlive.role == dialed:
		return maxSilent
	case len(c.serving) > 0:
		return int(servingTimeout / acceptedCheckEvery)
	default:
		return int(acceptedTimeout / acceptedCheckEvery)
	}
}

// scheduleCheck sets the timer for the next check and reports whether to ping;
// c.mu is held. A ping without a stream makes the checks frequent until something
// is heard.
func (c *conn) scheduleCheck(heard bool) (ping bool) {
	k := &c.keepAlive
	if k.role == accepted {
		k.timer.Reset(acceptedCheckEvery)
		return false
	}
	if k.frequent && len(c.streams) == 0 && heard {
		k.frequent = false
		k.timer.Reset(idlePingEvery)
		return false
	}
	k.frequent = true
	k.timer.Reset(pingEvery)
	if k.pinging {
		return false
	}
	k.pinging = true
	c.wg.Add(1) // the read loop still runs, as the connection has not failed
	return true
}

// ping sends a ping, for which scheduleCheck has set pinging and added to wg.
func (c *conn) ping() {
	defer c.wg.Done()
	// The error is dropped: the connection is then broken, which the read loop
	// notices.
	_ = c.write(&frame{Type: framePing})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keepAlive.pinging, c.keepAlive.pinged = false, true
}

// pong answers a ping without holding up the read loop, which calls it.
func (c *conn) pong() {
	c.wg.Go(func() {
		// The error is dropped as in ping.
		_ = c.write(&frame{Type: framePong})
	})
}
