package exchange

import (
	"context"
	"errors"
	"io"
	"sync"
	"syscall"
	"time"

	"cairndock/internal/gateway/upstream"
)

const (
	// endTimeout bounds the time in which HasEnded finds out: some new connections
	// between two regions.
	endTimeout = 500 * time.Millisecond
	// endSettles is how long a connection must last that was made right after another
	// one had ended. A process that ends closes its listener and its connections one
	// by one, so that a connection made meanwhile is reset at once.
	endSettles = 20 * time.Millisecond
	// endKept is how long it is remembered that a run has ended, for the attempts that
	// notice it later.
	endKept = 30 * time.Second
)

// IsConnectionEnd reports whether an error of a connection means that the other end
// closed or reset it, as also happens when its process ends.
func IsConnectionEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// ends finds out which runs of upstreams have ended.
type ends struct {
	mu sync.Mutex
	// found has when each run was found to have ended.
	found map[upstream.Run]time.Time
	// asking has the questions that are being answered.
	asking map[upstream.Run]*question
}

// question is answered when done is closed.
type question struct {
	done  chan struct{}
	ended bool
	// answered is set when a response of the run comes meanwhile.
	answered bool
}

func newEnds() *ends {
	return &ends{found: map[upstream.Run]time.Time{}, asking: map[upstream.Run]*question{}}
}

// HasEnded reports whether the process of an upstream has ended, after a connection to
// it did: nothing listens at its address any more, or what does ends each connection at
// once, as a load balancer before it, and no response of the run comes meanwhile. That
// one connection ended proves nothing, as upstreams break off responses and reset
// connections while they go on; those over their cap of connections reset new ones, and
// answer on others. It makes a new connection, which is kept for later requests if the
// upstream runs; several questions about one run are answered together.
func (c *Client) HasEnded(ctx context.Context, to Target) bool {
	q, mine := c.ends.ask(to.Run)
	if mine {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
		defer cancel()
		c.ends.answer(to.Run, q, c.look(ctx, to))
	}
	<-q.done
	return q.ended
}

// sign is what new connections to an upstream say.
type sign uint8

const (
	// running: one was made and stays, or none could be made for another reason.
	running sign = iota
	// refusing: nothing listens at the address.
	refusing
	// resetting: what listens ends each connection at once.
	resetting
)

// look makes a connection, and others while they end at once, each after a longer pause:
// an upstream over its cap is not to get many.
func (c *Client) look(ctx context.Context, to Target) sign {
	for wait := endSettles; ctx.Err() == nil; wait *= 2 {
		nc, err := c.pool.dial(ctx, "tcp", to.Address)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return refusing
		case errors.Is(err, syscall.ECONNRESET): // before dial had returned
			time.Sleep(wait)
			continue
		case err != nil:
			return running
		}
		made := newConn(nc)
		time.Sleep(wait)
		if made.idleError() == nil {
			c.pool.put(to.Run, made, time.Now(), 0)
			return running
		}
		_ = made.Close() // it has ended
	}
	return resetting
}

// ask returns the question about a run, and whether the caller is to answer it.
func (e *ends) ask(run upstream.Run) (_ *question, mine bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if at, ok := e.found[run]; ok && time.Since(at) < endKept {
		q := &question{done: make(chan struct{}), ended: true}
		close(q.done)
		return q, false
	}
	if q := e.asking[run]; q != nil {
		return q, false
	}
	q := &question{done: make(chan struct{})}
	e.asking[run] = q
	return q, true
}

func (e *ends) answer(run upstream.Run, q *question, s sign) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.asking, run)
	q.ended = s == refusing || s == resetting && !q.answered
	if q.ended {
		e.found[run] = time.Now()
	}
	close(q.done)
}

// noteResponse notes that a run has responded.
func (e *ends) noteResponse(run upstream.Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if q := e.asking[run]; q != nil {
		q.answered = true
	}
}

// forget drops what was found too long ago.
func (e *ends) forget(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for run, at := range e.found {
		if now.Sub(at) >= endKept {
			delete(e.found, run)
		}
	}
}
