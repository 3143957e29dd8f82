package entrytest

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// Network is a network in memory whose links can be slow, cut and healed.
// Addresses are "name:port", and a link's ends are names. What is written
// while a link is cut arrives, late, when it heals.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*fakeListener
	cut       map[[2]string]bool
	flows     []*flow
	delay     func(from, to string) time.Duration
}

func newNetwork(delay func(from, to string) time.Duration) *Network {
	return &Network{listeners: map[string]*fakeListener{}, cut: map[[2]string]bool{}, delay: delay}
}

func nameOf(addr string) string {
	host, _, _ := net.SplitHostPort(addr)
	return host
}

func (n *Network) isCut(a, b string) bool {
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
		f.flush()
	}
}

// end is what one name sees of the network.
type end struct {
	net  *Network
	name string
}

var errRefused = errors.New("connection refused")

// Dial connects to an address; on a cut link it hangs until ctx ends.
func (e end) Dial(ctx context.Context, addr string) (net.Conn, error) {
	for e.net.isCut(e.name, nameOf(addr)) {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
	e.net.mu.Lock()
	l := e.net.listeners[addr]
	e.net.mu.Unlock()
	if l == nil {
		return nil, errRefused
	}
	there, back := e.net.newFlow(e.name, nameOf(addr)), e.net.newFlow(nameOf(addr), e.name)
	select {
	case l.accept <- &fakeConn{in: there, out: back}:
		return &fakeConn{in: back, out: there}, nil
	case <-l.done:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (e end) dialUpstream(ctx context.Context, _, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return e.Dial(ctx, addr)
}

// Listen listens at an address.
func (e end) Listen(addr string) (net.Listener, error) {
	l := &fakeListener{net: e.net, addr: addr, accept: make(chan net.Conn), done: make(chan struct{})}
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	e.net.listeners[addr] = l
	return l, nil
}

type fakeListener struct {
	net    *Network
	addr   string
	accept chan net.Conn
	done   chan struct{}
	once   sync.Once
}

func (l *fakeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *fakeListener) Close() error {
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

func (l *fakeListener) Addr() net.Addr { return fakeAddr(l.addr) }

type fakeAddr string

func (a fakeAddr) Network() string { return "tcp" }
func (a fakeAddr) String() string  { return string(a) }

// flow is one direction of a connection.
type flow struct {
	net      *Network
	from, to string
	mu       sync.Mutex
	ready    sync.Cond
	waiting  [][]byte // on their way; nil is the end
	buf      []byte
	ended    bool
	broken   bool
	deadline time.Time
}

func (n *Network) newFlow(from, to string) *flow {
	f := &flow{net: n, from: from, to: to}
	f.ready.L = &f.mu
	n.mu.Lock()
	n.flows = append(n.flows, f)
	n.mu.Unlock()
	return f
}

// send puts a chunk on its way.
func (f *flow) send(p []byte) {
	f.mu.Lock()
	f.waiting = append(f.waiting, p)
	f.mu.Unlock()
	time.AfterFunc(f.net.delay(f.from, f.to), f.arrive)
}

// arrive delivers the oldest chunk, unless the link is cut.
func (f *flow) arrive() {
	if f.net.isCut(f.from, f.to) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deliver()
}

func (f *flow) deliver() {
	if len(f.waiting) == 0 {
		return
	}
	chunk := f.waiting[0]
	f.waiting = f.waiting[1:]
	if chunk == nil {
		f.ended = true
	}
	f.buf = append(f.buf, chunk...)
	f.ready.Broadcast()
}

func (f *flow) flush() {
	if f.net.isCut(f.from, f.to) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.waiting) > 0 {
		f.deliver()
	}
}

type fakeConn struct {
	in, out *flow
	once    sync.Once
}

func (c *fakeConn) Read(p []byte) (int, error) {
	f := c.in
	f.mu.Lock()
	defer f.mu.Unlock()
	for {
		switch {
		case f.broken:
			return 0, net.ErrClosed
		case !f.deadline.IsZero() && !time.Now().Before(f.deadline):
			return 0, os.ErrDeadlineExceeded
		case len(f.buf) > 0:
			n := copy(p, f.buf)
			f.buf = f.buf[n:]
			return n, nil
		case f.ended:
			return 0, io.EOF
		}
		f.ready.Wait()
	}
}

func (c *fakeConn) Write(p []byte) (int, error) {
	c.out.mu.Lock()
	gone := c.out.broken || c.out.ended
	c.out.mu.Unlock()
	if gone {
		return 0, net.ErrClosed
	}
	c.out.send(append([]byte{}, p...))
	return len(p), nil
}

// CloseWrite ends this end's sending side.
func (c *fakeConn) CloseWrite() error {
	c.once.Do(func() { c.out.send(nil) })
	return nil
}

func (c *fakeConn) Close() error {
	_ = c.CloseWrite()
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	c.in.broken = true
	c.in.ready.Broadcast()
	return nil
}

func (c *fakeConn) SetReadDeadline(t time.Time) error {
	f := c.in
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deadline = t
	f.ready.Broadcast()
	if !t.IsZero() {
		time.AfterFunc(time.Until(t), func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.ready.Broadcast()
		})
	}
	return nil
}

func (c *fakeConn) SetDeadline(t time.Time) error    { return c.SetReadDeadline(t) }
func (c *fakeConn) SetWriteDeadline(time.Time) error { return nil }
func (c *fakeConn) LocalAddr() net.Addr              { return fakeAddr(c.out.from + ":0") }
func (c *fakeConn) RemoteAddr() net.Addr             { return fakeAddr(c.out.to + ":0") }
