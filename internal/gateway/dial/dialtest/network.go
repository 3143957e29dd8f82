// Package dialtest provides an in-memory network for tests, whose open connections can
// become silent while new ones work. It must be used in a testing/synctest bubble.
package dialtest

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// backlog is the maximum number of connections that wait to be accepted.
const backlog = 64

// Network connects dialers with one listener. Between the two ends of each connection is
// a middlebox that accepts all data from either end, like one that acknowledges packets
// itself.
type Network struct {
	accept chan net.Conn
	closed chan struct{}
	once   sync.Once

	mu    sync.Mutex
	links []*link
}

// New returns a network. It must be closed.
func New() *Network {
	return &Network{accept: make(chan net.Conn, backlog), closed: make(chan struct{})}
}

// DialContext opens a connection to the listener, whatever the address.
func (n *Network) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	l, dialed, accepted := newLink()
	n.mu.Lock()
	n.links = append(n.links, l)
	n.mu.Unlock()
	select {
	case n.accept <- accepted:
		return dialed, nil
	case <-n.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Silence makes the currently open connections silent permanently: either end may write,
// but nothing is delivered to the other end any more, not even the close.
func (n *Network) Silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		l.silent.Store(true)
	}
}

// Dials returns the number of connections opened so far.
func (n *Network) Dials() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.links)
}

// Silent returns the number of silent connections that the dialer has not closed, and
// the number of those that the listener's side has not closed.
func (n *Network) Silent() (dialed, accepted int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		if !l.silent.Load() {
			continue
		}
		if !l.dialerClosed.Load() {
			dialed++
		}
		if !l.accepterClosed.Load() {
			accepted++
		}
	}
	return dialed, accepted
}

// Accept implements net.Listener.
func (n *Network) Accept() (net.Conn, error) {
	select {
	case c := <-n.accept:
		return c, nil
	case <-n.closed:
		return nil, net.ErrClosed
	}
}

// Addr implements net.Listener.
func (n *Network) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

// Close closes the listener and the middleboxes of all connections.
func (n *Network) Close() error {
	n.once.Do(func() { close(n.closed) })
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		l.close()
	}
	return nil
}

// link is the middlebox of one connection.
type link struct {
	silent, dialerClosed, accepterClosed atomic.Bool
	// toDialer and toAccepter are the middlebox's own ends.
	toDialer, toAccepter net.Conn
}

// newLink returns a link and the two ends of its connection.
func newLink() (l *link, dialed, accepted net.Conn) {
	l = &link{}
	dialed, l.toDialer = net.Pipe()
	accepted, l.toAccepter = net.Pipe()
	go l.forward(l.toDialer, l.toAccepter, &l.dialerClosed)
	go l.forward(l.toAccepter, l.toDialer, &l.accepterClosed)
	return l, dialed, accepted
}

// forward forwards the data that one end writes until that end is closed.
func (l *link) forward(from, to net.Conn, closed *atomic.Bool) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if l.silent.Load() && err == nil {
			continue
		}
		if err == nil {
			_, err = to.Write(buf[:n])
			if err == nil || l.silent.Load() {
				continue
			}
		}
		closed.Store(true)
		if !l.silent.Load() {
			_ = to.Close()
		}
		return
	}
}

// close closes the middlebox's ends. Errors are ignored, because they only mean that an
// end is closed already.
func (l *link) close() {
	_ = l.toDialer.Close()
	_ = l.toAccepter.Close()
}
