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
	// endTimeout bounds the time in which HasEnded finds out. Chosen, not measured:
	// some new connections between two regions.
	endTimeout = 500 * time.Millisecond
	// endSettles is how long a connection must last that was made right after another
	// one had ended. A process that ends closes its listener and its connections one
	// by one, so that a connection made meanwhile is reset at once. Chosen, not
	// measured.
	endSettles = 20 * time.Millisecond
	// endKept is how long it is remembered that a run has ended, for the attempts that
	// notice it later. Chosen, not measured.
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
}

func newEnds() *ends {
	return &ends{found: map[upstream.Run]time.Time{}, asking: map[upstream.Run]*question{}}
}

// HasEnded reports whether the process of an upstream has ended, after a connection to
// it did: nothing listens at its address any more. That one connection ended proves
// nothing, as upstreams break off responses and reset connections while they go on.
// It makes a new connection, which is kept for later requests if the upstream runs; of
// several questions about one run one connection is made.
func (c *Client) HasEnded(ctx context.Context, to Target) bool {
	q, mine := c.ends.ask(to.Run)
	if mine {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
		defer cancel()
		c.ends.answer(to.Run, q, c.refusesConnections(ctx, to))
	}
	<-q.done
	return q.ended
}

// refusesConnections makes a connection, and another one if the first ends at once.
func (c *Client) refusesConnections(ctx context.Context, to Target) bool {
	for ctx.Err() == nil {
		nc, err := c.pool.dial(ctx, "tcp", to.Address)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		made := newConn(nc)
		time.Sleep(endSettles)
		if made.idleError() == nil {
			c.pool.put(to.Run, made, time.Now(), 0)
			return false
		}
		_ = made.Close() // it has ended
	}
	return false
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

func (e *ends) answer(run upstream.Run, q *question, ended bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.asking, run)
	if ended {
		e.found[run] = time.Now()
	}
	q.ended = ended
	close(q.done)
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
