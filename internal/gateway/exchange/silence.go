package exchange

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"cairndock/internal/gateway/upstream"
)

const (
	// maxSilence is how long a request waits on a reused connection for the
	// first byte of its response until the pool gives up the connections that
	// were idle before it. It is above what most responses take, as each slower
	// one costs dials, and below the deadlines of requests that are not canceled
	// when they are overdue.
	maxSilence = time.Second
	// minSilence is how long a request that timed out or was canceled must have
	// waited for that. Clients leave at any moment, which says nothing of the
	// connection; an overdue attempt is canceled after 250 ms at the least.
	minSilence = 200 * time.Millisecond
)

// silenceWatch finds out that a reused connection is silent: no byte came back
// since a request was written to it. The upstream may only be slow, but if the
// connection was cut without a reset, then so were those that were idle at that
// time, and each would cost a request. So the pool closes them, and the next
// request dials. It proves nothing about the request or the upstream: both are
// judged by the request's own end.
type silenceWatch struct {
	pool *pool
	run  upstream.Run
	conn *conn
	// began is when the request was sent, and received what had been read from
	// the connection then.
	began    time.Time
	received int64
	// timer is nil for a new connection, which is not watched.
	timer *time.Timer
}

// watchSilence watches a connection to which a request is about to be written.
// On a new one silence tells nothing about older ones.
func watchSilence(p *pool, run upstream.Run, c *conn) *silenceWatch {
	w := &silenceWatch{pool: p, run: run, conn: c, began: time.Now(), received: c.received.Load()}
	if !c.idleSince.IsZero() {
		w.timer = time.AfterFunc(maxSilence, w.check)
	}
	return w
}

// Progress tells of a request that is being sent. Its zero value is for one that
// has not begun; its methods may be called while Send runs.
type Progress struct {
	// OnSent, if it is set, is called when the request was written, before its
	// response is waited for. A request that has no connection is never sent.
	OnSent func()
	// MaySend, if it is set, is asked right before the request is written, which may have
	// waited for a connection since its upstream was chosen. If it may not, it is not sent.
	MaySend func() bool

	silence          atomic.Pointer[silenceWatch]
	connectionClosed atomic.Bool
}

func (p *Progress) maySend() bool { return p.MaySend == nil || p.MaySend() }

func (p *Progress) sent() {
	if p.OnSent != nil {
		p.OnSent()
	}
}

// SilentOnReused reports whether the request was sent on a connection that had
// been used before, and nothing has come back on it. Then the connection may be
// what is broken, and not the upstream.
func (p *Progress) SilentOnReused() bool {
	w := p.silence.Load()
	return w != nil && w.timer != nil && w.isSilent()
}

// ConnectionEnded reports whether the upstream's end of the connection was closed or
// reset after the request was sent, before a response came.
func (p *Progress) ConnectionEnded() bool { return p.connectionClosed.Load() }

func (w *silenceWatch) isSilent() bool { return w.conn.received.Load() == w.received }

// check gives up the older idle connections unless a byte has come. A late call
// is harmless: the count of bytes never goes back.
func (w *silenceWatch) check() {
	if w.isSilent() {
		w.pool.closeIdleBefore(w.run, w.began)
	}
}

// requestFailed is called when the request ended with an error. Only a time-out, which
// is also how a canceled read ends, is silence; a reset is an answer.
func (w *silenceWatch) requestFailed(err error) {
	var ne net.Error
	timedOut := errors.As(err, &ne) && ne.Timeout()
	if w.timer != nil && timedOut && time.Since(w.began) >= minSilence {
		w.check()
	}
}

// stop ends the watch.
func (w *silenceWatch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
