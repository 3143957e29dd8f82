package exchange

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"cairndock/internal/gateway/upstream"
)

const (
	// maxSilence is how long a request waits on a reused connection for the first byte
	// of its response until the pool closes the connections that were idle at the same
	// time. It is above the duration of most responses, because each slower response
	// costs new connections. It is below the deadlines of requests that are not canceled
	// when they are overdue.
	maxSilence = time.Second
	// minSilence is the minimum wait after which a request that timed out or was
	// canceled counts as silence. Clients may leave at any time, which is no sign of a
	// broken connection. An overdue attempt is canceled after at least 250 ms.
	minSilence = 200 * time.Millisecond
)

// silenceWatch detects that a reused connection is silent: no byte was received since a
// request was written to it. The upstream may only be slow. But if the connection was
// cut without a reset, the connections that were idle at that time were cut too, and
// each of them would cost a request. The pool therefore closes them, and the next
// request dials. Silence proves nothing about the request or the upstream; both are
// judged by the outcome of the request.
type silenceWatch struct {
	pool *pool
	run  upstream.Run
	conn *conn
	// began is when the request was sent, and received the number of bytes that had been
	// read from the connection at that time.
	began    time.Time
	received int64
	// timer is nil for a new connection, which is not watched.
	timer *time.Timer
}

// watchSilence watches a connection to which a request is about to be written. A new
// connection is not watched, because its silence says nothing about older connections.
func watchSilence(p *pool, run upstream.Run, c *conn) *silenceWatch {
	w := &silenceWatch{pool: p, run: run, conn: c, began: time.Now(), received: c.received.Load()}
	if !c.idleSince.IsZero() {
		w.timer = time.AfterFunc(maxSilence, w.check)
	}
	return w
}

// Progress reports the progress of a request that is being sent. The zero value is valid
// for a request that has not been sent; the methods may be called while Send runs.
type Progress struct {
	// OnSent, if set, is called after the request was written, before waiting for the
	// response. It is not called for a request without a connection.
	OnSent func()
	// MaySend, if set, is called right before the request is written, because the
	// request may have waited for a connection since its upstream was chosen. If MaySend
	// returns false, the request is not sent.
	MaySend func() bool

	silence          atomic.Pointer[silenceWatch]
	connectionClosed atomic.Bool
	unacknowledged   atomic.Int64
}

func (p *Progress) maySend() bool { return p.MaySend == nil || p.MaySend() }

func (p *Progress) sent() {
	if p.OnSent != nil {
		p.OnSent()
	}
}

// SilentOnReused reports whether the request was sent on a reused connection on which
// nothing has been received since. In this case the connection may be broken rather than
// the upstream.
func (p *Progress) SilentOnReused() bool {
	w := p.silence.Load()
	return w != nil && w.timer != nil && w.isSilent()
}

// UsedNewConnection reports whether the request was sent on a connection that was opened
// for it.
func (p *Progress) UsedNewConnection() bool {
	w := p.silence.Load()
	return w != nil && w.timer == nil
}

// ConnectionClosed reports whether the upstream closed or reset the connection after the
// request was sent and before a response arrived.
func (p *Progress) ConnectionClosed() bool { return p.connectionClosed.Load() }

// Unacknowledged returns the number of bytes of the request that the upstream's kernel had not
// acknowledged when the request was given up without a response. It is 0 if the number is not
// known.
func (p *Progress) Unacknowledged() int { return int(p.unacknowledged.Load()) }

func (w *silenceWatch) isSilent() bool { return w.conn.received.Load() == w.received }

// check closes the older idle connections unless a byte was received. A late call is
// harmless, because the number of received bytes never decreases.
func (w *silenceWatch) check() {
	if w.isSilent() {
		w.pool.closeIdleBefore(w.run, w.began)
	}
}

// requestFailed is called when the request failed with an error. Only a timeout, which
// is also the error of a canceled read, counts as silence; a reset is a reaction of the
// other end.
func (w *silenceWatch) requestFailed(err error) {
	var ne net.Error
	timedOut := errors.As(err, &ne) && ne.Timeout()
	if w.timer != nil && timedOut && time.Since(w.began) >= minSilence {
		w.check()
	}
}

func (w *silenceWatch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
