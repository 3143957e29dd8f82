package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

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
	time.AfterFunc(f.net.delay(f.from, f.to), func() { f.deliver(1) })
}

// deliver delivers the oldest chunks, n at most, unless the link is cut.
func (f *flow) deliver(n int) {
	if f.net.IsCut(f.from, f.to) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for ; n > 0 && len(f.waiting) > 0; n-- {
		chunk := f.waiting[0]
		f.waiting = f.waiting[1:]
		f.ended = f.ended || chunk == nil
		f.buf = append(f.buf, chunk...)
	}
	f.ready.Broadcast()
}

type conn struct {
	in, out *flow
	once    sync.Once
}

func (c *conn) Read(p []byte) (int, error) {
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

func (c *conn) Write(p []byte) (int, error) {
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
func (c *conn) CloseWrite() error {
	c.once.Do(func() { c.out.send(nil) })
	return nil
}

func (c *conn) Close() error {
	_ = c.CloseWrite()
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	c.in.broken = true
	c.in.ready.Broadcast()
	return nil
}

func (c *conn) SetReadDeadline(t time.Time) error {
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

func (c *conn) SetDeadline(t time.Time) error    { return c.SetReadDeadline(t) }
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
func (c *conn) LocalAddr() net.Addr              { return address(c.out.from + ":0") }
func (c *conn) RemoteAddr() net.Addr             { return address(c.out.to + ":0") }
