package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// dialTimeout bounds the making of a connection.
	dialTimeout = 2 * time.Second
	// redialPause is the least time between two tries to reach a peer that
	// could not be reached.
	redialPause = 500 * time.Millisecond
)

// Transport makes and takes connections; it is TCP, with mutual TLS where
// the settings ask for it, or a fake.
type Transport interface {
	Dial(ctx context.Context, addr string) (net.Conn, error)
	Listen(addr string) (net.Listener, error)
}

// Mesh keeps one connection to each peer that is talked to.
type Mesh struct {
	self      Hello
	transport Transport
	handler   Handler

	mu       sync.Mutex
	dialed   map[string]*peerConn
	accepted map[*Conn]struct{}
	closed   bool
	listener net.Listener
	wait     sync.WaitGroup
}

type peerConn struct {
	conn atomic.Pointer[Conn]
	// dialing holds one token, which the only dialer at a time has.
	dialing  chan struct{}
	failedAt time.Time
	err      error
}

// NewMesh makes a mesh that shows itself as self.
func NewMesh(self Hello, t Transport, h Handler) *Mesh {
	return &Mesh{self: self, transport: t, handler: h, dialed: map[string]*peerConn{}, accepted: map[*Conn]struct{}{}}
}

// Listen takes connections at an address and gives the address taken.
func (m *Mesh) Listen(addr string) (string, error) {
	l, err := m.transport.Listen(addr)
	if err != nil {
		return "", eris.Wrap(err, "listen for peers")
	}
	m.listener = l
	m.wait.Add(1)
	go m.acceptLoop(l)
	return l.Addr().String(), nil
}

func (m *Mesh) acceptLoop(l net.Listener) {
	defer m.wait.Done()
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		m.wait.Add(1)
		go m.acceptOne(nc)
	}
}

func (m *Mesh) acceptOne(nc net.Conn) {
	defer m.wait.Done()
	c, err := newConn(context.Background(), nc, m.self, m.handler)
	if err != nil {
		return
	}
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		c.Close()
		return
	}
	m.accepted[c] = struct{}{}
	m.mu.Unlock()
	<-c.done
	c.wait.Wait()
	m.mu.Lock()
	delete(m.accepted, c)
	m.mu.Unlock()
}

// Get gives the connection to a peer, making it when there is none. Its
// error means that nothing was sent.
func (m *Mesh) Get(ctx context.Context, addr string) (*Conn, error) {
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		return nil, ErrNotSent
	}
	p := m.dialed[addr]
	if p == nil {
		p = &peerConn{dialing: make(chan struct{}, 1)}
		m.dialed[addr] = p
	}
	m.mu.Unlock()
	return p.get(ctx, m, addr)
}

func (p *peerConn) get(ctx context.Context, m *Mesh, addr string) (*Conn, error) {
	if c := p.conn.Load(); c != nil && c.err() == nil {
		return c, nil
	}
	select {
	case p.dialing <- struct{}{}:
		defer func() { <-p.dialing }()
	case <-ctx.Done():
		return nil, ErrNotSent
	}
	if c := p.conn.Load(); c != nil && c.err() == nil {
		return c, nil
	}
	if p.err != nil && time.Since(p.failedAt) < redialPause {
		return nil, p.err
	}
	conn, err := m.dial(ctx, addr)
	if err != nil {
		p.err, p.failedAt = eris.Wrap(ErrNotSent, err.Error()), time.Now()
		return nil, p.err
	}
	p.err = nil
	p.conn.Store(conn)
	return conn, nil
}

func (m *Mesh) dial(ctx context.Context, addr string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := m.transport.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	c, err := newConn(ctx, nc, m.self, m.handler)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		go c.Close()
		return nil, ErrNotSent
	}
	return c, nil
}

// Open opens a stream to a peer.
func (m *Mesh) Open(ctx context.Context, addr string, kind Kind, payload []byte) (*Stream, error) {
	c, err := m.Get(ctx, addr)
	if err != nil {
		return nil, err
	}
	return c.Open(ctx, kind, payload)
}

// Call sends a message to a peer and decodes its reply into reply.
func Call[T any](ctx context.Context, m *Mesh, addr string, kind Kind, message any) (T, error) {
	reply, _, err := CallSized[T](ctx, m, addr, kind, message)
	return reply, err
}

// frameOverhead is about what the frames of a call add to its messages: an
// open, a reply and an end, in bytes.
const frameOverhead = 40

// CallSized is Call that also gives the bytes exchanged.
func CallSized[T any](ctx context.Context, m *Mesh, addr string, kind Kind, message any) (T, int, error) {
	var zero T
	payload, err := Encode(message)
	if err != nil {
		return zero, 0, err
	}
	c, err := m.Get(ctx, addr)
	if err != nil {
		return zero, 0, err
	}
	reply, err := c.Call(ctx, kind, payload)
	if err != nil {
		return zero, 0, err
	}
	v, err := Decode[T](reply)
	return v, len(payload) + len(reply) + frameOverhead, err
}

// Drop breaks the connection to a peer that no longer answers.
func (m *Mesh) Drop(addr string) {
	m.mu.Lock()
	p := m.dialed[addr]
	m.mu.Unlock()
	if p == nil {
		return
	}
	if c := p.conn.Load(); c != nil {
		c.fail(ErrLost)
	}
}

// Serving is how many streams of peers are being served.
func (m *Mesh) Serving() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for c := range m.accepted {
		n += c.Serving()
	}
	for _, p := range m.dialed {
		if c := p.conn.Load(); c != nil {
			n += c.Serving()
		}
	}
	return n
}

// Close breaks all connections.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	if m.listener != nil {
		_ = m.listener.Close()
	}
	var conns []*Conn
	for c := range m.accepted {
		conns = append(conns, c)
	}
	dialed := make([]*peerConn, 0, len(m.dialed))
	for _, p := range m.dialed {
		dialed = append(dialed, p)
	}
	m.mu.Unlock()
	for _, p := range dialed {
		if c := p.conn.Load(); c != nil {
			conns = append(conns, c)
		}
	}
	for _, c := range conns {
		c.Close()
	}
	m.wait.Wait()
}
