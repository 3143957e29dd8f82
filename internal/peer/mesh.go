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
	// dialTimeout limits the time to establish a connection, including the
	// handshake.
	dialTimeout = 2 * time.Second
	// redialDelay is the time after a failed dial during which requests to the
	// peer fail immediately.
	redialDelay = 500 * time.Millisecond
)

// Transport makes and accepts network connections. Implementations use plain
// TCP, mutual TLS if the settings require it, or an in-memory network in tests.
type Transport interface {
	Dial(ctx context.Context, addr string) (net.Conn, error)
	Listen(addr string) (net.Listener, error)
}

// Mesh manages the connections of a host to its peers: one connection for each
// address that requests are sent to, and the connections that peers have made.
// Its methods are safe for concurrent use.
type Mesh struct {
	self      Hello
	transport Transport
	handler   Handler
	badInput  func(source string, err error)
	// handshakes bounds accepted connections whose sender is not known yet.
	handshakes handshakes

	mu       sync.Mutex
	dialed   map[string]*dialedPeer
	accepted map[*conn]struct{}
	// retired are dialed connections that were replaced in the dialed map and
	// still serve their open streams.
	retired map[*conn]struct{}
	// goingAway is set when streams opened by peers are no longer accepted.
	goingAway bool
	closed    bool
	listener  net.Listener
	wg        sync.WaitGroup
}

// dialedPeer holds the connection to one address.
type dialedPeer struct {
	conn atomic.Pointer[conn]
	// dialToken holds the token of the only goroutine that may dial. It guards
	// failure and failedAt. It is a channel, so that waiting for it can end
	// with the context of the request.
	dialToken chan struct{}
	// failure is the message of the last dial error, or empty, and failedAt is
	// the time of that error. The error itself is not kept, because wrapping an
	// error of package eris modifies it. Each request therefore gets an error
	// of its own.
	failure  string
	failedAt time.Time
}

// NewMesh returns a mesh that identifies itself as self. The handler serves the
// streams that peers open.
func NewMesh(self Hello, t Transport, h Handler) *Mesh {
	return &Mesh{self: self, transport: t, handler: h, badInput: func(string, error) {}, dialed: map[string]*dialedPeer{}, accepted: map[*conn]struct{}{}, retired: map[*conn]struct{}{}}
}

// OnBadInput sets a callback for peers that exceed a limit or send an invalid frame. source is the
// name of the peer, if it is known, and its address. OnBadInput must be called before the mesh is
// used.
func (m *Mesh) OnBadInput(f func(source string, err error)) { m.badInput = f }

// Listen starts to accept connections at an address and returns the actual
// address.
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
// is not logged, because the peer that connected reports it, unless its Hello is invalid.
func (m *Mesh) serveConn(nc net.Conn) {
	defer m.wg.Done()
	if oldest := m.handshakes.begin(nc); oldest != nil {
		m.badInput(oldest.RemoteAddr().String(), errManyHandshakes)
		_ = oldest.Close() // its own goroutine gets the error
	}
	ctx := context.Background()
	c, reader, err := establish(ctx, nc, m.self, m.handler, accepted)
	m.handshakes.end(nc)
	if err != nil {
		if errors.Is(err, errInvalidFrame) {
			m.badInput(nc.RemoteAddr().String(), err)
		}
		return
	}
	c.badInput = m.badInput
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
	c.startReading(ctx, reader) // after goAway, so that no stream is read before the peer is refused
	m.mu.Unlock()
	<-c.closed
	c.wg.Wait()
	m.mu.Lock()
	delete(m.accepted, c)
	m.mu.Unlock()
}

// Open opens a stream to a peer and waits for its response. The error is
// ErrNotSent if the request did not run. The caller must close the stream.
func (m *Mesh) Open(ctx context.Context, addr string, kind Kind, payload []byte) (*Stream, error) {
	c, err := m.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	s, err := c.open(ctx, kind, payload)
	if err == nil || !errors.Is(err, ErrNotSent) || c.usable() {
		return s, err
	}
	// The connection was closed between the two calls, possibly because of
	// another request, or the peer sent a go-away. The request did not run, so
	// it may be sent on another connection.
	if c, err = m.connect(ctx, addr); err != nil {
		return nil, err
	}
	return c.open(ctx, kind, payload)
}

// connect returns the connection to a peer and dials if there is none. The
// error is always ErrNotSent.
func (m *Mesh) connect(ctx context.Context, addr string) (*conn, error) {
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		return nil, ErrNotSent
	}
	p := m.dialed[addr]
	if p == nil {
		p = &dialedPeer{dialToken: make(chan struct{}, 1)}
		m.dialed[addr] = p
	}
	m.mu.Unlock()
	return p.connect(ctx, m, addr)
}

func (p *dialedPeer) connect(ctx context.Context, m *Mesh, addr string) (*conn, error) {
	if c := p.usableConn(); c != nil {
		return c, nil
	}
	select {
	case p.dialToken <- struct{}{}:
		defer func() { <-p.dialToken }()
	case <-ctx.Done():
		return nil, ErrNotSent
	}
	if c := p.usableConn(); c != nil { // another goroutine dialed in the meantime
		return c, nil
	}
	if p.failure != "" && time.Since(p.failedAt) < redialDelay {
		return nil, eris.Wrap(ErrNotSent, p.failure)
	}
	began := time.Now()
	c, err := m.dial(ctx, addr)
	if err != nil {
		// If the context ended early, a failed dial does not show that the peer
		// is unreachable.
		if ctx.Err() == nil || time.Since(began) >= redialDelay {
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

// retire keeps a replaced connection until its streams end or it breaks.
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

// usableConn returns the connection if new requests may use it, and nil
// otherwise.
func (p *dialedPeer) usableConn() *conn {
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
	c, reader, err := establish(ctx, nc, m.self, m.handler, dialed)
	if err != nil {
		return nil, err
	}
	c.badInput = m.badInput
	c.startReading(ctx, reader)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		go c.close()
		return nil, ErrNotSent
	}
	return c, nil
}

// Drop retires the connection to a peer that no longer responds. The next
// request makes a new connection. Streams of other requests continue on the old
// connection until they end, or until it breaks or is found to be silent.
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

// Close closes all connections and waits for the handlers. No connection is
// made or accepted afterwards. After GoAway, it first gives peers time to close
// their connections.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	m.closeListener()
	conns := slices.Collect(maps.Keys(m.accepted))
	conns = slices.AppendSeq(conns, maps.Keys(m.retired))
	dialed := slices.Collect(maps.Values(m.dialed))
	m.mu.Unlock()
	awaitDisconnect(conns)
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

// closeListener closes the listener; m.mu is held. A peer that dials afterwards
// is refused, which proves that its request did not run.
func (m *Mesh) closeListener() {
	if m.listener == nil {
		return
	}
	_ = m.listener.Close() // an error means that it is already closed
	m.listener = nil
}
