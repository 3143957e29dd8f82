// Package memnet is a network in memory, for tests in a bubble of fake time
// (testing/synctest): its links are slow, can be cut and be healed again.
package memnet

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cairndock/internal/pause"
)

// Network is a network in memory whose links can be slow, cut and healed.
// Addresses are "name:port", and a link's ends are names. What is written
// while a link is cut arrives, late, when it heals.
type Network struct {
	// Delay is how long a write takes from one name to another.
	Delay func(from, to string) time.Duration

	listeners sync.Map // of listener, by address
	links     atomic.Pointer[links]
}

// links says which links are cut, until changed is closed.
type links struct {
	cut     func(a, b string) bool
	changed chan struct{}
}

// stop reports whether traffic between two names is stopped.
func (l *links) stop(a, b string) bool {
	return l != nil && l.cut != nil && (l.cut(a, b) || l.cut(b, a))
}

// Cut stops all traffic, both ways, between two names for which cut holds in
// either order, and lets all other traffic pass; nil heals all links.
func (n *Network) Cut(cut func(a, b string) bool) {
	if before := n.links.Swap(&links{cut, make(chan struct{})}); before != nil {
		close(before.changed)
	}
}

// End is what one name sees of the network: its transport.
type End struct {
	Net  *Network
	Name string
}

// healPoll is how often an end looks whether a cut link is healed. It finds out
// later than what was written before arrives, so a host that was cut off works
// on for a moment with what it knew.
const healPoll = 50 * time.Millisecond

// Reach waits until traffic to a name is not stopped, or ctx ends.
func (e End) Reach(ctx context.Context, to string) error {
	for e.Net.links.Load().stop(e.Name, to) {
		if !pause.For(ctx, healPoll) {
			return ctx.Err()
		}
	}
	return nil
}

// errRefused is what a TCP address gives at which nothing listens.
var errRefused = os.NewSyscallError("connect", syscall.ECONNREFUSED)

// Dial connects to an address; on a cut link it hangs until ctx ends.
func (e End) Dial(ctx context.Context, addr string) (net.Conn, error) {
	to, _, _ := net.SplitHostPort(addr) // nobody listens at an address without a name
	if err := e.Reach(ctx, to); err != nil {
		return nil, err
	}
	l, ok := e.Net.listeners.Load(addr)
	if !ok {
		return nil, errRefused
	}
	fromThere, toHere := net.Pipe()
	fromHere, toThere := net.Pipe()
	select {
	case l.(listener).accept <- &conn{Conn: fromHere, out: toHere, net: e.Net, from: to, to: e.Name}:
		return &conn{Conn: fromThere, out: toThere, net: e.Net, from: e.Name, to: to}, nil
	case <-l.(listener).closed.Done():
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Listen listens at an address.
func (e End) Listen(addr string) (net.Listener, error) {
	l := listener{addr: addr, accept: make(chan net.Conn)}
	l.closed, l.close = context.WithCancel(context.Background())
	e.Net.listeners.Store(addr, l)
	return l, nil
}

type listener struct {
	addr   string
	accept chan net.Conn
	closed context.Context
	close  context.CancelFunc
}

func (l listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed.Done():
		return nil, net.ErrClosed
	}
}

func (l listener) Close() error   { l.close(); return nil }
func (l listener) Addr() net.Addr { return &net.UnixAddr{Name: l.addr, Net: "tcp"} }

// conn is one end of a connection: the pipe that it reads from, and the one that
// what it writes goes to.
type conn struct {
	net.Conn
	out      net.Conn
	net      *Network
	from, to string

	mu    sync.Mutex
	ended bool          // nothing more may be written
	last  chan struct{} // closed when the last write was delivered
}

// Write fails once a write before it has met a closed end.
func (c *conn) Write(p []byte) (int, error) {
	if !c.send(append([]byte{}, p...)) {
		return 0, net.ErrClosed
	}
	return len(p), nil
}

func (c *conn) SetWriteDeadline(time.Time) error { return nil } // writes never wait
func (c *conn) CloseWrite() error                { c.send(nil); return nil }
func (c *conn) Close() error                     { c.send(nil); return c.Conn.Close() }

// send delivers a chunk a delay later, in order and not while the link is cut;
// nil is the end, after which it reports false. It does not wait for a slow
// reader: the writer may hold a lock, and time in a bubble stands still while
// others wait for that.
func (c *conn) send(chunk []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	c.ended = chunk == nil
	before, done := c.last, make(chan struct{})
	c.last = done
	time.AfterFunc(c.net.Delay(c.from, c.to), func() {
		defer close(done)
		if before != nil {
			<-before
		}
		for l := c.net.links.Load(); l.stop(c.from, c.to); l = c.net.links.Load() {
			<-l.changed
		}
		if chunk == nil {
			_ = c.out.Close() // a pipe's never fails
		} else if _, err := c.out.Write(chunk); err != nil {
			c.send(nil) // the other end is closed
		}
	})
	return true
}
