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

	"cairndock/internal/linger"
)

var (
	// ErrNotSent reports that the request did not run. Either no byte of it
	// left this host, because there is no connection to the peer, the
	// connection broke before the request was written, or the request cannot be
	// encoded as a frame (see Mesh.connect and conn.writeLocked). Or the peer
	// reported that it does not accept the stream (see conn.goAway).
	ErrNotSent = eris.New("not sent")
	// ErrLost reports that the connection broke or the context ended after the
	// request may have left this host.
	ErrLost = eris.New("connection lost")
	// errIncomplete reports that a stream ended before its response or before
	// the end of its body.
	errIncomplete = eris.New("response or body is incomplete")
)

const (
	// readBuffer is the size of the read buffer of a connection in bytes. A
	// host has a connection in each direction with every peer that gets
	// heartbeats. A larger frame is read past the buffer, so a larger buffer
	// would only use more memory: 4 KB instead of 64 KB reduced the peak of a
	// host with eight peers from 12.0 to 11.8 MB.
	readBuffer = 4 << 10
	// drainReadTimeout is how long a connection is still read after a write to
	// it failed. If a peer closes the connection right after its response,
	// writing a credit frame fails, but the response must not be lost.
	drainReadTimeout = time.Second
	// maxWriteSize is the maximum number of bytes written at once. A peer must
	// accept each write within silenceTimeout, while a large frame on a slow
	// link may take longer in total.
	maxWriteSize = 64 << 10
)

// conn is a connection to a peer, on which both ends may open streams.
type conn struct {
	net     net.Conn
	remote  Hello
	handler Handler
	// badInput is called with the name and address of the peer when it exceeds a limit or sends
	// an invalid frame.
	badInput func(source string, err error)

	// writeToken holds the token of the only goroutine that may write to net.
	// The token is acquired before mu. It is a channel, so that waiting for it
	// can end with the context of a request while another write is stuck.
	writeToken chan struct{}
	out        []byte
	// writeFailed is set after a failed write, because a partial frame may have
	// been sent.
	writeFailed atomic.Bool

	mu sync.Mutex
	// lastID is the ID of the last stream opened by this host.
	lastID uint64
	// lastPeerID is the ID of the last stream opened by the peer.
	lastPeerID uint64
	// streams are the open streams that this host opened, and serving are those
	// that the peer opened.
	streams map[uint64]*Stream
	serving map[uint64]*Responder
	// servingBytes is the size of the requests of the streams in serving.
	servingBytes int
	// refused are the streams whose refusals wait to be written, and refusing is set while a
	// goroutine writes them.
	refused  []uint64
	refusing bool
	// retired is set when new requests use another connection. The connection
	// closes when its last stream ends.
	retired bool
	// goingAway is set when streams opened by the peer are no longer accepted.
	goingAway bool
	// peerClock is the last reading of the peer's clock.
	peerClock peerClock
	// failed is the reason why the connection broke, or nil while it works.
	failed error
	// closed is closed when the connection breaks.
	closed chan struct{}
	wg     sync.WaitGroup

	keepAlive keepAlive
}

// establish performs the handshake on a dialed or accepted network connection. No frame
// is read after the Hello until startReading is called. It closes the network connection
// if the handshake fails.
func establish(ctx context.Context, nc net.Conn, self Hello, h Handler, r role) (*conn, *bufio.Reader, error) {
	c := &conn{
		net:        nc,
		writeToken: make(chan struct{}, 1),
		handler:    h,
		badInput:   func(string, error) {},
		streams:    map[uint64]*Stream{},
		serving:    map[uint64]*Responder{},
		closed:     make(chan struct{}),
	}
	c.keepAlive.role = r
	if r == dialed {
		// Only the dialing end opens streams. Once it closes the connection, all of them have
		// ended or failed. The accepting end may still have responses to deliver.
		linger.Discard(nc)
	}
	reader := bufio.NewReaderSize(activityReader{nc, &c.keepAlive.received}, readBuffer)
	if err := c.handshake(ctx, self, reader); err != nil {
		_ = nc.Close()
		return nil, nil, eris.Wrap(err, "handshake")
	}
	return c, reader, nil
}

// startReading starts the read loop and the keep-alive checks.
func (c *conn) startReading(ctx context.Context, reader *bufio.Reader) {
	c.wg.Add(1)
	go c.readLoop(context.WithoutCancel(ctx), reader)
	c.startKeepAlive()
}

// close breaks the connection with all its streams and waits for the handlers
// of the streams that the peer opened.
func (c *conn) close() {
	c.fail(ErrLost)
	c.wg.Wait()
}

// fail breaks the connection with all its streams.
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

// retire stops using the connection for new requests and closes it once it has
// no open streams. Their responses may still arrive, even if another request on
// the connection timed out.
func (c *conn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
	c.closeIfUnused()
}

// closeIfUnused closes a retired connection without open streams; c.mu is held.
func (c *conn) closeIfUnused() {
	if c.retired && len(c.streams) == 0 {
		c.failLocked(ErrLost)
	}
}

// usable reports whether new requests may use the connection. After a failed
// write, the connection is only read until it ends.
func (c *conn) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed == nil && !c.retired && !c.writeFailed.Load()
}

// err returns the reason why the connection broke, or nil while it works.
func (c *conn) err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

// write sends a frame. The error is ErrNotSent if no byte of the frame left
// this host.
func (c *conn) write(f *frame) error {
	c.writeToken <- struct{}{}
	defer func() { <-c.writeToken }()
	return c.writeLocked(f)
}

// writeLocked is write with the write token held.
func (c *conn) writeLocked(f *frame) error {
	buf, err := appendFrame(c.out[:0], f)
	if err != nil {
		return eris.Wrap(ErrNotSent, err.Error())
	}
	c.out = buf
	if c.writeFailed.Load() || c.err() != nil {
		return ErrNotSent
	}
	for chunk := range slices.Chunk(buf, maxWriteSize) {
		if f.Type != frameHello { // the handshake has its own deadline
			// An error means that the connection is closed, which Write reports
			// as well.
			_ = c.net.SetWriteDeadline(time.Now().Add(silenceTimeout))
		}
		if _, err := c.net.Write(chunk); err != nil {
			c.writeFailed.Store(true)
			// An error means that the connection is closed, which the read loop
			// detects.
			_ = c.net.SetReadDeadline(time.Now().Add(drainReadTimeout))
			return ErrLost
		}
	}
	return nil
}

// open opens a stream and waits for its response. The error is ErrNotSent if
// the request did not run. The caller must close the stream.
func (c *conn) open(ctx context.Context, kind Kind, payload []byte) (*Stream, error) {
	s, err := c.startStream(ctx, kind, payload)
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
		return nil, s.err // set before replied was closed, and not changed afterwards
	}
	return s, nil
}

// cancel notifies the peer that the stream is no longer read. It does not block,
// because the context of the request may have ended and another write may be
// stuck.
func (c *conn) cancel(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed != nil { // the peer cancels the stream when the connection breaks
		return
	}
	c.wg.Go(func() {
		// An error is ignored, because the connection is then broken.
		_ = c.write(&frame{Type: frameCancel, ID: id})
	})
}

// startStream registers a stream and sends its open frame. The ID is assigned
// with the write token held, so that IDs are sent in ascending order.
func (c *conn) startStream(ctx context.Context, kind Kind, payload []byte) (*Stream, error) {
	select {
	case c.writeToken <- struct{}{}:
		defer func() { <-c.writeToken }()
	case <-ctx.Done():
	}
	if ctx.Err() != nil { // select may have chosen the token although the context had ended
		return nil, ErrNotSent
	}
	s, err := c.register()
	if err != nil {
		return nil, err
	}
	if err := c.writeLocked(&frame{Type: frameOpen, ID: s.id, Kind: kind, Offset: c.deadline(ctx), Data: payload}); err != nil {
		s.remove()
		return nil, err
	}
	return s, nil
}

// register adds a new stream opened by this host.
func (c *conn) register() (*Stream, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed != nil || c.retired {
		return nil, ErrNotSent
	}
	c.lastID++
	s := newStream(c, c.lastID)
	c.streams[s.id] = s
	c.startFrequentChecks()
	return s, nil
}
