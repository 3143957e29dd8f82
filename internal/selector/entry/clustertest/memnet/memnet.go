// Package memnet implements an in-memory network for tests in a bubble of fake time
// (testing/synctest). Its links have a delay and can be cut and healed.
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

// Network is an in-memory network whose links have a delay and can be cut and
// healed. Addresses have the form "name:port", and a link connects two names. Data
// that is written while a link is cut is delivered when the link is healed.
type Network struct {
	// Delay returns the time that a write takes from one name to another.
	Delay func(from, to string) time.Duration

	listeners sync.Map // maps addresses to listener
	links     atomic.Pointer[links]
}

// links determines which links are cut. It is replaced when changed is closed.
type links struct {
	cut     func(a, b string) bool
	changed chan struct{}
}

// blocks reports whether traffic between two names is blocked.
func (l *links) blocks(a, b string) bool {
	return l != nil && l.cut != nil && (l.cut(a, b) || l.cut(b, a))
}

// Cut blocks the traffic in both directions between two names for which cut returns
// true in either order, and unblocks all other traffic. Nil heals all links.
func (n *Network) Cut(cut func(a, b string) bool) {
	if before := n.links.Swap(&links{cut, make(chan struct{})}); before != nil {
		close(before.changed)
	}
}

// End is the transport of one name in the network.
type End struct {
	Net  *Network
	Name string
}

// healPollInterval is the interval at which an end checks whether a cut link is
// healed. Data that was written earlier can therefore arrive before an end notices
// the healing, so that an isolated host briefly continues with outdated state.
const healPollInterval = 50 * time.Millisecond

// Reach waits until traffic to a name is not blocked. If ctx ends first, Reach
// returns its error.
func (e End) Reach(ctx context.Context, to string) error {
	for e.Net.links.Load().blocks(e.Name, to) {
		if !pause.For(ctx, healPollInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// errRefused is the error of dialing a TCP address without a listener.
var errRefused = os.NewSyscallError("connect", syscall.ECONNREFUSED)

// Dial connects to an address. On a cut link, it blocks until the link is healed or
// ctx ends.
func (e End) Dial(ctx context.Context, addr string) (net.Conn, error) {
	to, _, _ := net.SplitHostPort(addr) // an address without a name has no listener
	if err := e.Reach(ctx, to); err != nil {
		return nil, err
	}
	l, ok := e.Net.listeners.Load(addr)
	if !ok {
		return nil, errRefused
	}
	dialerIn, acceptorOut := net.Pipe()
	acceptorIn, dialerOut := net.Pipe()
	select {
	case l.(listener).accept <- &conn{Conn: acceptorIn, out: acceptorOut, net: e.Net, from: to, to: e.Name}:
		return &conn{Conn: dialerIn, out: dialerOut, net: e.Net, from: e.Name, to: to}, nil
	case <-l.(listener).closed.Done():
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Listen listens at an address. It never fails.
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

// conn is one end of a connection. It reads from the embedded pipe and writes to the
// pipe out.
type conn struct {
	net.Conn
	out      net.Conn
	net      *Network
	from, to string

	mu          sync.Mutex
	writeClosed bool          // no more data may be written
	last        chan struct{} // closed when the latest write was delivered
}

// Write never waits. It fails after an earlier write found the other end closed, or
// after the end of writing.
func (c *conn) Write(p []byte) (int, error) {
	if !c.send(append([]byte{}, p...)) {
		return 0, net.ErrClosed
	}
	return len(p), nil
}

func (c *conn) SetWriteDeadline(time.Time) error { return nil } // writes never wait
func (c *conn) CloseWrite() error                { c.send(nil); return nil }
func (c *conn) Close() error                     { c.send(nil); return c.Conn.Close() }

// send delivers a chunk after the delay of the link, in order, and not while the link
// is cut. A nil chunk ends the writing; later calls return false. send does not wait
// for a slow reader, because the writer may hold a lock, and fake time does not
// advance while goroutines wait for a lock.
func (c *conn) send(chunk []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeClosed {
		return false
	}
	c.writeClosed = chunk == nil
	before, done := c.last, make(chan struct{})
	c.last = done
	time.AfterFunc(c.net.Delay(c.from, c.to), func() {
		defer close(done)
		if before != nil {
			<-before
		}
		for l := c.net.links.Load(); l.blocks(c.from, c.to); l = c.net.links.Load() {
			<-l.changed
		}
		if chunk == nil {
			_ = c.out.Close() // closing a pipe never fails
		} else if _, err := c.out.Write(chunk); err != nil {
			c.send(nil) // the other end is closed
		}
	})
	return true
}
