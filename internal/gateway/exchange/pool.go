package exchange

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"cairndock/internal/gateway/upstream"
)

const (
	// maxIdleConns bounds the idle connections to one upstream.
	maxIdleConns = 8
	// maxIdleTime bounds how long a connection stays idle, and is what holds when
	// the upstream's Keep-Alive header gives no time.
	maxIdleTime = 8 * time.Second
	// idleMargin is how much earlier than the upstream the pool closes an idle
	// connection, so that no request is written to one that is being closed. The
	// header gives whole seconds.
	idleMargin = 500 * time.Millisecond
)

// Dial connects to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// pool keeps idle connections by the run of an upstream that they lead to, as
// addresses pass from one upstream to another and ids from one run to the next.
// Errors of closing a connection are dropped: no request is in flight on it.
type pool struct {
	dial Dial
	// onSilent is told how many connections closeIdleBefore closed.
	onSilent func(connections int)

	mu   sync.Mutex
	idle map[upstream.Run][]*conn
}

// get takes a usable idle connection or dials a new one.
func (p *pool) get(ctx context.Context, to Target) (*conn, error) {
	for c := p.pop(to.Run); c != nil; c = p.pop(to.Run) {
		if c.idleError() == nil {
			return c, nil
		}
		_ = c.Close()
	}
	nc, err := p.dial(ctx, "tcp", to.Address)
	if err != nil {
		return nil, err
	}
	return newConn(nc), nil
}

// pop takes the connection that became idle last, or nil.
func (p *pool) pop(run upstream.Run) *conn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[run]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[run] = list
		if now.Before(c.idleUntil) {
			return c
		}
		_ = c.Close()
	}
	delete(p.idle, run)
	return nil
}

// put keeps a connection whose last response was read whole at a time. It stays
// for idleTimeout from then on, or for maxIdleTime when that is zero or longer:
// the upstream counts from its last byte, however late the response is closed.
func (p *pool) put(run upstream.Run, c *conn, since time.Time, idleTimeout time.Duration) {
	if idleTimeout <= 0 || idleTimeout > maxIdleTime {
		idleTimeout = maxIdleTime
	}
	c.idleSince = since
	c.idleUntil = since.Add(idleTimeout)
	p.add(run, c)
}

// putUnused keeps a connection that get gave and that was not used. That it was
// taken proves nothing about it, so it stays no longer than it would have.
func (p *pool) putUnused(run upstream.Run, c *conn) {
	if c.idleSince.IsZero() {
		p.put(run, c, time.Now(), 0)
		return
	}
	p.add(run, c)
}

// add adds an idle connection unless there are maxIdleConns.
func (p *pool) add(run upstream.Run, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[run]) >= maxIdleConns {
		_ = c.Close()
		return
	}
	p.idle[run] = append(p.idle[run], c)
}

// suspended has idle connections expire sooner by the time for which the machine was
// suspended: the upstreams counted it.
func (p *pool) suspended(gap time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			c.idleUntil = c.idleUntil.Add(-gap)
		}
	}
}

// closeIdleBefore closes the connections to an upstream that became idle before a
// time and are idle still.
func (p *pool) closeIdleBefore(run upstream.Run, before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	closed := 0
	p.idle[run] = slices.DeleteFunc(p.idle[run], func(c *conn) bool {
		if !c.idleSince.Before(before) {
			return false
		}
		_ = c.Close()
		closed++
		return true
	})
	if len(p.idle[run]) == 0 {
		delete(p.idle, run)
	}
	p.onSilent(closed)
}

// retain closes the idle connections to the runs that keep rejects, and those
// that were idle too long.
func (p *pool) retain(keep func(upstream.Run) bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for run, list := range p.idle {
		p.idle[run] = slices.DeleteFunc(list, func(c *conn) bool {
			if keep(run) && now.Before(c.idleUntil) {
				return false
			}
			_ = c.Close()
			return true
		})
		if len(p.idle[run]) == 0 {
			delete(p.idle, run)
		}
	}
}

// keepAliveTimeout is how long a connection may stay idle by a response's
// Keep-Alive header, idleMargin less than it says, or zero when the header
// gives no time that can be read.
func keepAliveTimeout(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return 0
		}
		return max(time.Duration(seconds)*time.Second-idleMargin, time.Millisecond)
	}
	return 0
}
