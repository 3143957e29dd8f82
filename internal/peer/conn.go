package peer

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

var (
	// ErrNotSent reports that the request did not run. Not a byte of it left this
	// host: there is no connection to the peer, or it broke before, or the request
	// makes no frame (see Mesh.connect and conn.writeLocked). Or the peer said that
	// it takes no more (see conn.goAway).
	ErrNotSent = eris.New("not sent")
	// ErrLost reports that the connection broke, or the time ran out, after the
	// request may have left.
	ErrLost = eris.New("connection lost")
	// errIncomplete reports that a stream ended before its response or before
	// the end of its body.
	errIncomplete = eris.New("body is not whole")
)

const (
	// readBuffer is a connection's buffer for reading, in bytes. A host has a
	// connection each way with every peer that gets heartbeats, and a larger
	// frame is read past the buffer, so more would only hold memory: 64 KB to
	// 4 KB took the peak of a host with eight peers from 12.0 to 11.8 MB.
	readBuffer = 4 << 10
	// readOutTime is how long a connection is still read after a write to it
	// failed. A peer that closes right after its response makes a credit frame
	// fail, and the response must not be lost with it.
	readOutTime = time.Second
	// maxWrite is how many bytes are written at once. A peer must take them
	// within silenceTimeout, a large frame on a slow link may take longer.
	maxWrite = 64 << 10
)

// conn is one connection to a peer, on which both ends open streams.
type conn struct {
	net     net.Conn
	remote  Hello
	handler Handler

	// writing holds the token of the one goroutine that writes to net, which is
	// taken before mu. A channel, since waiting for it ends with a request's
	// context: another write may be stuck.
	writing chan struct{}
	out     []byte
	// unwritable is set after a failed write, as half a frame may have left.
	unwritable atomic.Bool

	mu sync.Mutex
	// nextID is the ID of the last stream opened here.
	nextID uint64
	// lastPeerID is the ID of the last stream that the peer opened.
	lastPeerID uint64
	// streams are those opened here, and serving those opened by the peer.
	streams map[uint64]*Stream
	serving map[uint64]*Responder
	// retired is set when new requests use another connection; this one closes
	// when its last stream ends.
	retired bool
	// goingAway is set when no more streams of the peer are taken.
	goingAway bool
	// failed is why the connection broke; nil while it works.
	failed error
	// closed is closed when it breaks.
	closed chan struct{}
	wg     sync.WaitGroup

	keepAlive keepAlive
}

// newConn does the handshake on a network connection, made or accepted, and
// starts to serve the peer's streams. It closes the connection on an error.
func newConn(ctx context.Context, nc net.Conn, self Hello, h Handler, r role) (*conn, error) {
	c, reader, err := greet(ctx, nc, self, h, r)
	if err == nil {
		c.begin(ctx, reader)
	}
	return c, err
}

// greet is newConn without its start: no stream is served until begin is called.
func greet(ctx context.Context, nc net.Conn, self Hello, h Handler, r role) (*conn, *bufio.Reader, error) {
	c := &conn{
		net:     nc,
		writing: make(chan struct{}, 1),
		handler: h,
		streams: map[uint64]*Stream{},
		serving: map[uint64]*Responder{},
		closed:  make(chan struct{}),
	}
	c.keepAlive.role = r
	reader := bufio.NewReaderSize(listener{nc, &c.keepAlive.heard}, readBuffer)
	if err := c.handshake(ctx, self, reader); err != nil {
		_ = nc.Close()
		return nil, nil, eris.Wrap(err, "handshake")
	}
	return c, reader, nil
}

// begin starts to read frames.
func (c *conn) begin(ctx context.Context, reader *bufio.Reader) {
	c.wg.Add(1)
	go c.readLoop(context.WithoutCancel(ctx), reader)
	c.startKeepAlive()
}

// close breaks the connection and every stream on it, and waits for the
// handlers of the peer's streams.
func (c *conn) close() {
	c.fail(ErrLost)
	c.wg.Wait()
}

// fail breaks the connection and every stream on it.
func (c *conn) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failLocked(err)
}

// failLocked is fail with c.mu held.
func (c *conn) failLocked(err error) {
	if c.failed != nil {
		return
	}
	c.failed = err
	close(c.closed)
	if c.keepAlive.timer != nil {
		c.keepAlive.timer.Stop()
	}
	_ = c.net.Close()
	for _, s := range c.streams {
		s.fail(ErrLost)
	}
	for _, r := range c.serving {
		r.cancel()
	}
}

// retire leaves the connection to its open streams, and breaks it when there are
// none: their responses may be on the way, whatever another request waited for.
func (c *conn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
	c.closeIfUnused()
}

// closeIfUnused breaks a retired connection without streams; c.mu is held.
func (c *conn) closeIfUnused() {
	if c.retired && len(c.streams) == 0 {
		c.failLocked(ErrLost)
	}
}

// usable reports whether new requests may use the connection. One that can't be
// written to is only read to its end.
func (c *conn) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed == nil && !c.retired && !c.unwritable.Load()
}

// err returns why the connection broke; nil while it works.
func (c *conn) err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

// write sends a frame. The error is ErrNotSent if nothing of it left this host.
func (c *conn) write(f *frame) error {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	return c.writeLocked(f)
}

// writeLocked is write with the token of c.writing held.
func (c *conn) writeLocked(f *frame) error {
	buf, err := appendFrame(c.out[:0], f)
	if err != nil {
		return eris.Wrap(ErrNotSent, err.Error())
	}
	c.out = buf
	if c.unwritable.Load() || c.err() != nil {
		return ErrNotSent
	}
	for part := range slices.Chunk(buf, maxWrite) {
		if f.Type != frameHello { // the handshake has its own deadline
			// An error means that the connection is closed, which Write reports.
			_ = c.net.SetWriteDeadline(time.Now().Add(silenceTimeout))
		}
		if _, err := c.net.Write(part); err != nil {
			c.unwritable.Store(true)
			// An error means that the connection is closed, which the read loop
			// notices.
			_ = c.net.SetReadDeadline(time.Now().Add(readOutTime))
			return ErrLost
		}
	}
	return nil
}

// open opens a stream and waits for its response. The error is ErrNotSent if
// the request did not run. The stream must be closed.
func (c *conn) open(ctx context.Context, kind Kind, payload []byte) (*Stream, error) {
	s, err := c.start(ctx, kind, payload)
	if err != nil {
		return nil, err
	}
	select {
	case <-s.replied:
	case <-ctx.Done():
		s.Close()
		return nil, eris.Wrap(ErrLost, ctx.Err().Error())
	}
	if s.Payload == nil {
		s.Close()
		return nil, s.err // set before replied was closed, and never again
	}
	return s, nil
}

// cancel tells the peer that nobody waits for a stream, without holding up the
// caller, whose time is over: another write may be stuck.
func (c *conn) cancel(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed != nil { // which cancels the stream at the peer too
		return
	}
	c.wg.Go(func() {
		// The error is dropped: the connection is then broken.
		_ = c.write(&frame{Type: frameCancel, ID: id})
	})
}

// start sends a stream's first frame. The ID is taken while no one else writes,
// so that IDs rise on the wire.
func (c *conn) start(ctx context.Context, kind Kind, payload []byte) (*Stream, error) {
	select {
	case c.writing <- struct{}{}:
		defer func() { <-c.writing }()
	case <-ctx.Done():
	}
	if ctx.Err() != nil { // also where both were ready
		return nil, ErrNotSent
	}
	s, err := c.register()
	if err != nil {
		return nil, err
	}
	if err := c.writeLocked(&frame{Type: frameOpen, ID: s.id, Kind: kind, Data: payload}); err != nil {
		s.forget()
		return nil, err
	}
	return s, nil
}

// register adds a new stream of this host.
func (c *conn) register() (*Stream, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed != nil || c.retired {
		return nil, ErrNotSent
	}
	c.nextID++
	s := newStream(c, c.nextID)
	c.streams[s.id] = s
	c.expectFrames()
	return s, nil
}
