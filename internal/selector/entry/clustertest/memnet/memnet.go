// Package memnet is a network in memory, for tests in a bubble of fake time
// (testing/synctest): its links are slow, can be cut and be healed again.
package memnet

import (
	"context"
	"errors"
	"math"
	"net"
	"sync"
	"time"
)

// Network is a network in memory whose links can be slow, cut and healed.
// Addresses are "name:port", and a link's ends are names. What is written
// while a link is cut arrives, late, when it heals.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cut       map[[2]string]bool
	flows     []*flow
	delay     func(from, to string) time.Duration
}

// New makes a network without a host. Delay is how long a write takes from one
// name to another.
func New(delay func(from, to string) time.Duration) *Network {
	return &Network{listeners: map[string]*listener{}, cut: map[[2]string]bool{}, delay: delay}
}

func nameOf(addr string) string {
	host, _, _ := net.SplitHostPort(addr)
	return host
}

// IsCut reports whether traffic between two names is stopped.
func (n *Network) IsCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]string{a, b}] || n.cut[[2]string{b, a}]
}

// Cut stops all traffic between two names.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}] = true
}

// Heal lets traffic pass again, what is waiting first.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	delete(n.cut, [2]string{a, b})
	delete(n.cut, [2]string{b, a})
	flows := n.flows
	n.mu.Unlock()
	for _, f := range flows {
		f.deliver(math.MaxInt)
	}
}

// WaitHealed waits until traffic between two names is not stopped, or ctx ends.
func (n *Network) WaitHealed(ctx context.Context, a, b string) error {
	for n.IsCut(a, b) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(healPoll):
		}
	}
	return nil
}

// End is what one name sees of the network: its transport.
type End struct {
	net  *Network
	name string
}

// End gives the end of a name.
func (n *Network) End(name string) End { return End{n, name} }

const (
	// healPoll is how often a waiting end looks whether its link is healed.
	healPoll = 50 * time.Millisecond
	// dialTimeout bounds a connection to an upstream.
	dialTimeout = time.Second
)

var errRefused = errors.New("connection refused")

// Dial connects to an address; on a cut link it hangs until ctx ends.
func (e End) Dial(ctx context.Context, addr string) (net.Conn, error) {
	if err := e.net.WaitHealed(ctx, e.name, nameOf(addr)); err != nil {
		return nil, err
	}
	e.net.mu.Lock()
	l := e.net.listeners[addr]
	e.net.mu.Unlock()
	if l == nil {
		return nil, errRefused
	}
	there, back := e.net.newFlow(e.name, nameOf(addr)), e.net.newFlow(nameOf(addr), e.name)
	select {
	case l.accept <- &conn{in: there, out: back}:
		return &conn{in: back, out: there}, nil
	case <-l.done:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// DialUpstream is Dial with the time-out of connections to upstreams.
func (e End) DialUpstream(ctx context.Context, _, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return e.Dial(ctx, addr)
}

// Listen listens at an address.
func (e End) Listen(addr string) (net.Listener, error) {
	l := &listener{net: e.net, addr: addr, accept: make(chan net.Conn), done: make(chan struct{})}
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	e.net.listeners[addr] = l
	return l, nil
}

type listener struct {
	net    *Network
	addr   string
	accept chan net.Conn
	done   chan struct{}
	once   sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		l.net.mu.Lock()
		if l.net.listeners[l.addr] == l {
			delete(l.net.listeners, l.addr)
		}
		l.net.mu.Unlock()
		close(l.done)
	})
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.addr) }

type address string

func (a address) Network() string { return "tcp" }
func (a address) String() string  { return string(a) }
