package exchange

import (
	"context"
	"errors"
	"io"
	"sync"
	"syscall"
	"time"

	"cairndock/internal/gateway/upstream"
	"cairndock/internal/pause"
)

const (
	// terminationCheckTimeout bounds the duration of a check by HasTerminated. It allows for
	// several new connections between two regions.
	terminationCheckTimeout = 500 * time.Millisecond
	// settleDelay is how long a new connection must stay open after another one was
	// closed to show that the process runs, beside the time that it took to open. A process
	// that terminates closes its listener and its connections one by one, so a connection
	// that is opened meanwhile is reset at once. A load balancer accepts it first, so that
	// its reset arrives a round trip after the connection is open.
	settleDelay = 20 * time.Millisecond
	// terminationRetention is how long a termination is remembered, for the attempts
	// that notice it later.
	terminationRetention = 30 * time.Second
)

// IsConnectionClosed reports whether an error of a connection means that the other end
// closed or reset the connection. This also happens when the process at the other end
// terminates.
func IsConnectionClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// terminations records which runs of upstreams have terminated, and the checks in
// progress.
type terminations struct {
	mu sync.Mutex
	// terminatedAt holds the time at which each run was found to have terminated.
	terminatedAt map[upstream.Run]time.Time
	// pending holds the checks in progress.
	pending map[upstream.Run]*terminationCheck
}

// terminationCheck is a check whether a run has terminated. done is closed when it is
// complete.
type terminationCheck struct {
	done       chan struct{}
	terminated bool
	// responded is set when a response of the run arrives during the check.
	responded bool
}

func newTerminations() *terminations {
	return &terminations{terminatedAt: map[upstream.Run]time.Time{}, pending: map[upstream.Run]*terminationCheck{}}
}

// HasTerminated reports whether the process of an upstream has terminated. It is called
// after a connection to the upstream was closed. A process has terminated if nothing listens
// at its address any more, or if whatever listens there, such as a load balancer, closes
// each new connection at once and no response of the run arrives during the check. One
// closed connection proves nothing, because running upstreams also break off responses
// and reset connections. An upstream over its limit of connections resets new ones and
// still responds on others.
//
// A host that reaches no upstream at all (ConfirmTerminations) takes none for terminated.
//
// HasTerminated opens a new connection, which is kept for later requests if the upstream
// runs. Concurrent calls for one run share one check.
func (c *Client) HasTerminated(ctx context.Context, to Target) bool {
	check, started := c.terminations.begin(to.Run)
	if started {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), terminationCheckTimeout)
		defer cancel()
		result := c.probe(ctx, to)
		if result != running && !c.hasPath() {
			result = running
		}
		c.terminations.finish(to.Run, check, result)
	}
	<-check.done
	return check.terminated
}

// probeResult is the result of opening new connections to an upstream.
type probeResult uint8

const (
	// running: a connection was opened and stayed open, or opening failed for a reason
	// other than the two below.
	running probeResult = iota
	// refusing: nothing listens at the address.
	refusing
	// resetting: each connection was closed at once.
	resetting
)

// probe opens a connection, and further ones while each is closed at once. It waits
// twice as long after each, because an upstream over its limit of connections should not
// receive many.
func (c *Client) probe(ctx context.Context, to Target) probeResult {
	for wait := settleDelay; ctx.Err() == nil; wait *= 2 {
		began := time.Now()
		nc, err := c.pool.dial(ctx, "tcp", to.Address)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return refusing
		case errors.Is(err, syscall.ECONNRESET): // reset before the dial returned
			time.Sleep(wait)
			continue
		case err != nil:
			return running
		}
		opened := newConn(nc)
		pause.For(ctx, wait+time.Since(began))
		if opened.idleError() == nil {
			c.pool.put(to.Run, opened, time.Now(), 0)
			return running
		}
		opened.closeOrderly() // the upstream closed it
	}
	return resetting
}

// begin returns the check of a run, and whether the caller has started it and must
// complete it.
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

// noteResponse records that a run has responded.
func (t *terminations) noteResponse(run upstream.Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if check := t.pending[run]; check != nil {
		check.responded = true
	}
}

// dropExpired removes terminations older than terminationRetention.
func (t *terminations) dropExpired(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for run, at := range t.terminatedAt {
		if now.Sub(at) >= terminationRetention {
			delete(t.terminatedAt, run)
		}
	}
}
