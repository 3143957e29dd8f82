package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

var (
	// ErrNotSent says that not a byte of the message left this host.
	ErrNotSent = eris.New("not sent")
	// ErrLost says that the connection broke after the message may have left.
	ErrLost = eris.New("connection lost")
	// ErrBroken says that a body ended before its whole length.
	ErrBroken = eris.New("body is not whole")
)

const (
	// window is how many bytes of a stream's body may be on their way.
	window = 256 << 10
	// handshakeTimeout bounds the time until a peer has shown itself.
	handshakeTimeout = 3 * time.Second
	// readOutTime is how long a connection that can't be written to is read.
	readOutTime = time.Second
	// writeTimeout bounds how long a peer may not read.
	writeTimeout = 10 * time.Second
)

// Handler serves streams that peers open.
type Handler interface {
	// ServePeer answers one stream. It must call Reply once at most.
	ServePeer(ctx context.Context, from Hello, kind Kind, payload []byte, w *Responder)
}

// Conn is one connection to a peer, used from both ends.
type Conn struct {
	net     net.Conn
	remote  Hello
	handler Handler

	writeMu sync.Mutex
	out     []byte
	// unwritable says that a write failed, so that none may follow.
	unwritable bool

	mu      sync.Mutex
	nextID  uint64
	seenID  uint64
	streams map[uint64]*Stream    // opened here
	serving map[uint64]*Responder // opened by the peer
	failed  error
	done    chan struct{}
	wait    sync.WaitGroup
}

// readBuffer is a connection's buffer for reading, in bytes. What a frame has
// beyond it is read past the buffer, so that a larger one would only hold
// memory: a host has a connection each way with every peer it follows.
const readBuffer = 4 << 10

// newConn shows itself to the peer and learns who it is.
func newConn(ctx context.Context, nc net.Conn, self Hello, h Handler) (*Conn, error) {
	c := &Conn{
		net:     nc,
		handler: h,
		streams: map[uint64]*Stream{},
		serving: map[uint64]*Responder{},
		done:    make(chan struct{}),
	}
	reader := bufio.NewReaderSize(nc, readBuffer)
	if err := c.handshake(self, reader); err != nil {
		_ = nc.Close()
		return nil, eris.Wrap(err, "handshake")
	}
	c.wait.Add(1)
	go c.readLoop(context.WithoutCancel(ctx), reader)
	return c, nil
}

func (c *Conn) handshake(self Hello, reader *bufio.Reader) error {
	if err := c.net.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	self.Version = Version
	hello, err := Encode(self)
	if err != nil {
		return err
	}
	sent := make(chan error, 1)
	go func() { sent <- c.write(&frame{Type: frameHello, Data: hello}) }()
	f, err := readFrame(reader)
	if err != nil {
		return err
	}
	if err := <-sent; err != nil {
		return err
	}
	if f.Type != frameHello {
		return eris.Wrap(ErrFrame, "no hello")
	}
	if c.remote, err = Decode[Hello](f.Data); err != nil {
		return err
	}
	if c.remote.Version != Version {
		return eris.Wrapf(ErrFrame, "version %q", c.remote.Version)
	}
	return c.net.SetDeadline(time.Time{})
}

// Remote is who the peer says it is.
func (c *Conn) Remote() Hello { return c.remote }

// Close breaks the connection and every stream on it.
func (c *Conn) Close() {
	c.fail(ErrLost)
	c.wait.Wait()
}

func (c *Conn) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed != nil {
		return
	}
	c.failed = err
	close(c.done)
	_ = c.net.Close()
	for _, s := range c.streams {
		s.fail(ErrLost)
	}
	for _, r := range c.serving {
		r.cancel()
	}
}

func (c *Conn) err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

// write sends one frame whole or fails the connection.
func (c *Conn) write(f *frame) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.writeLocked(f)
}

func (c *Conn) writeLocked(f *frame) error {
	buf, err := appendFrame(c.out[:0], f)
	if err != nil {
		return eris.Wrap(ErrNotSent, err.Error())
	}
	c.out = buf
	if c.unwritable || c.err() != nil {
		return ErrNotSent
	}
	if f.Type != frameHello {
		_ = c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	if _, err := c.net.Write(buf); err != nil {
		c.unwritable = true
		// What the peer sent before it closed may still be read.
		_ = c.net.SetReadDeadline(time.Now().Add(readOutTime))
		return ErrLost
	}
	return nil
}

func (c *Conn) readLoop(ctx context.Context, reader *bufio.Reader) {
	defer c.wait.Done()
	for {
		f, err := readFrame(reader)
		if err != nil {
			c.fail(err)
			return
		}
		if err := c.receive(ctx, f); err != nil {
			c.fail(err)
			return
		}
	}
}

func (c *Conn) receive(ctx context.Context, f frame) error {
	switch f.Type {
	case frameOpen:
		c.accept(ctx, f)
	case frameReply, frameBody, frameEnd, frameFail:
		c.mu.Lock()
		s := c.streams[f.ID]
		c.mu.Unlock()
		// A frame for a stream that is gone came late, and is dropped.
		if s != nil {
			s.receive(f)
		}
	case frameCancel, frameCredit:
		c.mu.Lock()
		r := c.serving[f.ID]
		c.mu.Unlock()
		if r != nil {
			r.receive(f)
		}
	default:
		return eris.Wrapf(ErrFrame, "type %d out of place", f.Type)
	}
	return nil
}

// accept serves a stream that the peer opened. An ID that is not above all
// earlier ones is a duplicate and is dropped.
func (c *Conn) accept(ctx context.Context, f frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed != nil || f.ID <= c.seenID {
		return
	}
	c.seenID = f.ID
	ctx, cancel := context.WithCancel(ctx)
	r := &Responder{conn: c, id: f.ID, ctx: ctx, cancel: cancel, credit: window}
	r.ready.L = &r.mu
	c.serving[f.ID] = r
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		defer c.finished(f.ID)
		c.handler.ServePeer(ctx, c.remote, f.Kind, f.Data, r)
	}()
}

func (c *Conn) finished(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.serving[id]; r != nil {
		r.cancel()
		delete(c.serving, id)
	}
}

// Serving is how many streams of the peer are being served.
func (c *Conn) Serving() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.serving)
}

// Open starts a stream and waits for its reply. The error is ErrNotSent
// when the peer can't have got it. The stream must be closed.
func (c *Conn) Open(ctx context.Context, kind Kind, payload []byte) (*Stream, error) {
	s, err := c.start(kind, payload)
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
		return nil, s.broken()
	}
	return s, nil
}

func (c *Conn) start(kind Kind, payload []byte) (*Stream, error) {
	// Opening is one step with writing, so that IDs rise on the wire.
	c.writeMu.Lock()
	c.mu.Lock()
	if c.failed != nil {
		c.mu.Unlock()
		c.writeMu.Unlock()
		return nil, ErrNotSent
	}
	c.nextID++
	s := newStream(c, c.nextID)
	c.streams[s.id] = s
	c.mu.Unlock()
	err := c.writeLocked(&frame{Type: frameOpen, ID: s.id, Kind: kind, Data: payload})
	c.writeMu.Unlock()
	if err != nil {
		s.forget()
	}
	return s, err
}

// Call opens a stream that has no body and gives its reply.
func (c *Conn) Call(ctx context.Context, kind Kind, payload []byte) ([]byte, error) {
	s, err := c.Open(ctx, kind, payload)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	// Replies without a body still end, so that a lost end is seen.
	if _, err := io.Copy(io.Discard, s); err != nil {
		return nil, err
	}
	return s.Payload, nil
}
