package exchange

import (
	"context"
	"net"
	"sync"
	"time"
)

// maxIdle bounds the connections that rest for one upstream.
const maxIdle = 8

// maxRest is how long a connection may rest when the upstream tells nothing.
const maxIdleTime = 8 * time.Second

// Dial connects to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Pool keeps connections that rest, by the instance they lead to.
type Pool struct {
	dial Dial

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool makes a pool.
func NewPool(dial Dial) *Pool {
	return &Pool{dial: dial, idle: map[string][]*conn{}}
}

// get takes a sound connection that rests, or makes one.
func (p *Pool) get(ctx context.Context, instance, address string) (*conn, error) {
	for {
		c := p.pop(instance)
		if c == nil {
			break
		}
		if c.idleError() == nil {
			return c, nil
		}
		_ = c.Close()
	}
	nc, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(nc), nil
}

// pop takes the connection that rested least.
func (p *Pool) pop(instance string) *conn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[instance]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[instance] = list
		if now.Before(c.idleUntil) {
			return c
		}
		_ = c.Close()
	}
	delete(p.idle, instance)
	return nil
}

func (p *Pool) put(instance string, c *conn, rest time.Duration) {
	if rest <= 0 || rest > maxIdleTime {
		rest = maxIdleTime
	}
	c.idleUntil = time.Now().Add(rest)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[instance]) >= maxIdle {
		_ = c.Close()
		return
	}
	p.idle[instance] = append(p.idle[instance], c)
}

// Forget closes the connections that rest for instances that keep does not
// name, and those that rested too long.
func (p *Pool) Retain(keep func(instance string) bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for instance, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if keep(instance) && now.Before(c.idleUntil) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, instance)
			continue
		}
		p.idle[instance] = kept
	}
}

// Idle is the number of connections that rest.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, list := range p.idle {
		n += len(list)
	}
	return n
}
