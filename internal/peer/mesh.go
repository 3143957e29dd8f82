package peer

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// dialTimeout bounds the making of a connection.
	dialTimeout = 2 * time.Second
	// redialPause is the time after a failed dial in which requests to the peer
	// fail at once.
	redialPause = 500 * time.Millisecond
)

// Transport makes and accepts network connections: TCP, with mutual TLS where
// the settings ask for it, or a fake.
type Transport interface {
	Dial(ctx context.Context, addr string) (net.Conn, error)
	Listen(addr string) (net.Listener, error)
}

// Mesh is a host's connections to its peers: one for each address that requests
// are sent to, and those that peers have made. Its methods may be used
// concurrently.
type Mesh struct {
	self      Hello
	transport Transport
	handler   Handler

	mu       sync.Mutex
	dialed   map[string]*dialedPeer
	accepted map[*conn]struct{}
	// retired are connections that were dialed, and serve the last of their
	// streams beside the one that is in dialed.
	retired map[*conn]struct{}
	// goingAway is set when no more streams of peers are taken.
	goingAway bool
	closed    bool
	listener  net.Listener
	wg        sync.WaitGroup
}

// dialedPeer is the connection to one address.
type dialedPeer struct {
	conn atomic.Pointer[conn]
	// dialing holds the token of the one caller that dials. It guards what
	// follows. A channel, since waiting for it ends with the caller's context.
	dialing chan struct{}
	// failure is why the last dial failed, or empty, and failedAt when. It is
	// not the error itself: wrapping an error of package eris changes it, and
	// each caller gets one of its own.
	failure  string
	failedAt time.Time
}

// NewMesh returns a mesh that identifies itself as self. The handler serves the
// streams of peers.
func NewMesh(self Hello, t Transport, h Handler) *Mesh {
	return &Mesh{self: self, transport: t, handler: h, dialed: map[string]*dialedPeer{}, accepted: map[*conn]struct{}{}, retired: map[*conn]struct{}{}}
}

// Listen accepts connections at an address, and returns the address in use.
func (m *Mesh) Listen(addr string) (string, error) {
	l, err := m.transport.Listen(addr)
	if err != nil {
		return "", eris.Wrap(err, "listen for peers")
	}
	m.listener = l
	m.wg.Add(1)
	go m.acceptLoop(l)
	return l.Addr().String(), nil
}

// acceptLoop accepts connections until the listener is closed.
func (m *Mesh) acceptLoop(l net.Listener) {
	defer m.wg.Done()
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		m.wg.Add(1)
		go m.serveConn(nc)
	}
}

// serveConn serves an accepted connection until it breaks. A failed handshake
// is not logged: whoever connected notices it.
func (m *Mesh) serveConn(nc net.Conn) {
	defer m.wg.Done()
	ctx := context.Background()
	c, reader, err := greet(ctx, nc, m.self, m.handler, accepted)
	if err != nil {
		return
	}
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		c.close()
		return
	}
	m.accepted[c] = struct{}{}
	if m.goingAway {
		c.goAway()
	}
	c.begin(ctx, reader) // nothing is read that goAway has not seen
	m.mu.Unlock()
	<-c.closed
	c.wg.Wait()
	m.mu.Lock()
	delete(m.accepted, c)
	m.mu.Unlock()
}

// Open opens a stream to a peer and waits for its response. The error is
// ErrNotSent if the request did not run. The stream must be closed.
func (m *Mesh) Open(ctx context.Context, addr string, kind Kind, payload []byte) (*Stream, error) {
	c, err := m.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	s, err := c.open(ctx, kind, payload)
	if err == nil || !errors.Is(err, ErrNotSent) || c.usable() {
		return s, err
	}
	// The connection was closed between the two calls, perhaps for another
	// request's sake, or the peer goes away. Nothing ran, so another connection
	// may carry the request.
	if c, err = m.connect(ctx, addr); err != nil {
		return nil, err
	}
	return c.open(ctx, kind, payload)
}

// connect returns the connection to a peer, and makes it if there is none. The
// error is always ErrNotSent.
func (m *Mesh) connect(ctx context.Context, addr string) (*conn, error) {
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		return nil, ErrNotSent
	}
	p := m.dialed[addr]
	if p == nil {
		p = &dialedPeer{dialing: make(chan struct{}, 1)}
		m.dialed[addr] = p
	}
	m.mu.Unlock()
	return p.connect(ctx, m, addr)
}

func (p *dialedPeer) connect(ctx context.Context, m *Mesh, addr string) (*conn, error) {
	if c := p.working(); c != nil {
		return c, nil
	}
	select {
	case p.dialing <- struct{}{}:
		defer func() { <-p.dialing }()
	case <-ctx.Done():
		return nil, ErrNotSent
	}
	if c := p.working(); c != nil { // another caller has dialed meanwhile
		return c, nil
	}
	if p.failure != "" && time.Since(p.failedAt) < redialPause {
		return nil, eris.Wrap(ErrNotSent, p.failure)
	}
	began := time.Now()
	c, err := m.dial(ctx, addr)
	if err != nil {
		// A caller with little time left says nothing of the peer.
		if ctx.Err() == nil || time.Since(began) >= redialPause {
			p.failure, p.failedAt = err.Error(), time.Now()
		}
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	p.failure = ""
	if old := p.conn.Swap(c); old != nil && old.err() == nil {
		m.retire(old)
	}
	return c, nil
}

// retire keeps a connection that was replaced until it breaks.
func (m *Mesh) retire(c *conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		go c.close()
		return
	}
	m.retired[c] = struct{}{}
	m.wg.Go(func() {
		<-c.closed
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.retired, c)
	})
	c.retire()
}

// working returns the connection if there is one that new requests may use.
func (p *dialedPeer) working() *conn {
	if c := p.conn.Load(); c != nil && c.usable() {
		return c
	}
	return nil
}

func (m *Mesh) dial(ctx context.Context, addr string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := m.transport.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	c, err := newConn(ctx, nc, m.self, m.handler, dialed)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		go c.close()
		return nil, ErrNotSent
	}
	return c, nil
}

// Drop gives up the connection to a peer that no longer responds. The next
// request makes a new one. Open streams of other requests keep the old one until
// they end, or it breaks or is found to be silent.
func (m *Mesh) Drop(addr string) {
	m.mu.Lock()
	p := m.dialed[addr]
	m.mu.Unlock()
	if p == nil {
		return
	}
	if c := p.conn.Load(); c != nil {
		c.retire()
	}
}

// Close breaks all connections and waits for the handlers. No connection is made
// or accepted after it. After GoAway it first gives peers time to leave.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	m.closeListener()
	conns := slices.Collect(maps.Keys(m.accepted))
	conns = slices.AppendSeq(conns, maps.Keys(m.retired))
	dialed := slices.Collect(maps.Values(m.dialed))
	m.mu.Unlock()
	awaitLeave(conns)
	for _, p := range dialed {
		if c := p.conn.Load(); c != nil {
			conns = append(conns, c)
		}
	}
	for _, c := range conns {
		c.close()
	}
	m.wg.Wait()
}

// closeListener accepts no more connections; m.mu is held. A peer that dials is
// refused, which proves that its request did not run.
func (m *Mesh) closeListener() {
	if m.listener == nil {
		return
	}
	_ = m.listener.Close() // an error means that it is closed
	m.listener = nil
}
