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
	// maxIdleConns is the maximum number of idle connections to one upstream.
	maxIdleConns = 8
	// maxIdleTime is the maximum time for which a connection stays idle. It also applies
	// when the upstream's Keep-Alive header contains no timeout.
	maxIdleTime = 8 * time.Second
	// idleMargin is how much earlier than the upstream the pool closes an idle
	// connection, so that no request is written to a connection that the upstream is
	// closing. The Keep-Alive header has a resolution of one second.
	idleMargin = 500 * time.Millisecond
)

// Dial connects to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// pool keeps idle connections by the run of the upstream at their other end, because
// addresses are reused by other upstreams and IDs by later runs. No request is
// in flight on a connection of the pool, so it is closed with closeOrderly.
type pool struct {
	dial Dial
	// onSilent is called with the number of connections that closeIdleBefore closed.
	onSilent func(connections int)

	mu   sync.Mutex
	idle map[upstream.Run][]*conn
}

// get returns a usable idle connection, or dials a new one.
func (p *pool) get(ctx context.Context, to Target) (*conn, error) {
	for c := p.pop(to.Run); c != nil; c = p.pop(to.Run) {
		if c.idleError() == nil {
			return c, nil
		}
		c.closeOrderly()
	}
	nc, err := p.dial(ctx, "tcp", to.Address)
	if err != nil {
		return nil, err
	}
	return newConn(nc), nil
}

// pop removes and returns the connection that became idle last, or returns nil if there
// is none.
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
		c.closeOrderly()
	}
	delete(p.idle, run)
	return nil
}

// put keeps a connection whose last response was completely read at the given time. The
// connection stays idle for idleTimeout from that time on, or for maxIdleTime if
// idleTimeout is zero or longer than maxIdleTime. The upstream's timeout starts with its
// last byte, even if the response is closed later.
func (p *pool) put(run upstream.Run, c *conn, since time.Time, idleTimeout time.Duration) {
	if idleTimeout <= 0 || idleTimeout > maxIdleTime {
		idleTimeout = maxIdleTime
	}
	c.idleSince = since
	c.idleUntil = since.Add(idleTimeout)
	p.add(run, c)
}

// putUnused keeps a connection that was returned by get but not used. Its expiry is not
// extended, because nothing was received on it.
func (p *pool) putUnused(run upstream.Run, c *conn) {
	if c.idleSince.IsZero() {
		p.put(run, c, time.Now(), 0)
		return
	}
	p.add(run, c)
}

// add adds an idle connection, or closes it if there are maxIdleConns already.
func (p *pool) add(run upstream.Run, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[run]) >= maxIdleConns {
		c.closeOrderly()
		return
	}
	p.idle[run] = append(p.idle[run], c)
}

// suspended makes idle connections expire sooner by the time for which the machine was
// suspended, because the timeouts of the upstreams continued.
func (p *pool) suspended(gap time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			c.idleUntil = c.idleUntil.Add(-gap)
		}
	}
}

// closeIdleBefore closes the idle connections to an upstream that became idle before the
// given time.
func (p *pool) closeIdleBefore(run upstream.Run, before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	closed := 0
	p.idle[run] = slices.DeleteFunc(p.idle[run], func(c *conn) bool {
		if !c.idleSince.Before(before) {
			return false
		}
		c.closeOrderly()
		closed++
		return true
	})
	if len(p.idle[run]) == 0 {
		delete(p.idle, run)
	}
	p.onSilent(closed)
}

// retain closes the idle connections to the runs for which keep returns false, and those
// that have expired.
func (p *pool) retain(keep func(upstream.Run) bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for run, list := range p.idle {
		p.idle[run] = slices.DeleteFunc(list, func(c *conn) bool {
			if keep(run) && now.Before(c.idleUntil) {
				return false
			}
			c.closeOrderly()
			return true
		})
		if len(p.idle[run]) == 0 {
			delete(p.idle, run)
		}
	}
}

// keepAliveTimeout returns the idle timeout of a response's Keep-Alive header less
// idleMargin, or zero when the header contains no valid timeout.
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
