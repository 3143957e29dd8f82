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
	// terminationCheckTimeout bounds the time in which HasEnded finds out: some new connections
	// between two regions.
	terminationCheckTimeout = 500 * time.Millisecond
	// settleDelay is how long a connection must last that was made right after another
	// one had ended. A process that ends closes its listener and its connections one
	// by one, so that a connection made meanwhile is reset at once.
	settleDelay = 20 * time.Millisecond
	// terminationRetention is how long it is remembered that a run has ended, for the attempts that
	// notice it later.
	terminationRetention = 30 * time.Second
)

// IsConnectionEnd reports whether an error of a connection means that the other end
// closed or reset it, as also happens when its process ends.
func IsConnectionEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// terminations finds out which runs of upstreams have ended.
type terminations struct {
	mu sync.Mutex
	// terminatedAt has when each run was found to have ended.
	terminatedAt map[upstream.Run]time.Time
	// pending has the questions that are being answered.
	pending map[upstream.Run]*terminationCheck
}

// terminationCheck is answered when done is closed.
type terminationCheck struct {
	done       chan struct{}
	terminated bool
	// responded is set when a response of the run comes meanwhile.
	responded bool
}

func newTerminations() *terminations {
	return &terminations{terminatedAt: map[upstream.Run]time.Time{}, pending: map[upstream.Run]*terminationCheck{}}
}

// HasEnded reports whether the process of an upstream has ended, after a connection to
// it did: nothing listens at its address any more, or what does ends each connection at
// once, as a load balancer before it, and no response of the run comes meanwhile. That
// one connection ended proves nothing, as upstreams break off responses and reset
// connections while they go on; those over their cap of connections reset new ones, and
// answer on others. It makes a new connection, which is kept for later requests if the
// upstream runs; several questions about one run are answered together.
func (c *Client) HasEnded(ctx context.Context, to Target) bool {
	check, started := c.terminations.begin(to.Run)
	if started {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), terminationCheckTimeout)
		defer cancel()
		c.terminations.finish(to.Run, check, c.probe(ctx, to))
	}
	<-check.done
	return check.terminated
}

// probeResult is what new connections to an upstream say.
type probeResult uint8

const (
	// running: one was made and stays, or none could be made for another reason.
	running probeResult = iota
	// refusing: nothing listens at the address.
	refusing
	// resetting: what listens ends each connection at once.
	resetting
)

// probe makes a connection, and others while they end at once, each after a longer pause:
// an upstream over its cap is not to get many.
func (c *Client) probe(ctx context.Context, to Target) probeResult {
	for wait := settleDelay; ctx.Err() == nil; wait *= 2 {
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
		opened := newConn(nc)
		time.Sleep(wait)
		if opened.idleError() == nil {
			c.pool.put(to.Run, opened, time.Now(), 0)
			return running
		}
		_ = opened.Close() // it has terminated
	}
	return resetting
}

// begin returns the question about a run, and whether the caller is to answer it.
func (t *terminations) begin(run upstream.Run) (_ *terminationCheck, started bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at, ok := t.terminatedAt[run]; ok && time.Since(at) < terminationRetention {
		check := &terminationCheck{done: make(chan struct{}), terminated: true}
		close(check.done)
		return check, false
	}
	if check := t.pending[run]; check != nil {
		return check, false
	}
	check := &terminationCheck{done: make(chan struct{})}
	t.pending[run] = check
	return check, true
}

func (t *terminations) finish(run upstream.Run, check *terminationCheck, result probeResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pending, run)
	check.terminated = result == refusing || result == resetting && !check.responded
	if check.terminated {
		t.terminatedAt[run] = time.Now()
	}
	close(check.done)
}

// noteResponse notes that a run has responded.
func (t *terminations) noteResponse(run upstream.Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if check := t.pending[run]; check != nil {
		check.responded = true
	}
}

// dropExpired drops what was found too long ago.
func (t *terminations) dropExpired(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for run, at := range t.terminatedAt {
		if now.Sub(at) >= terminationRetention {
			delete(t.terminatedAt, run)
		}
	}
}
