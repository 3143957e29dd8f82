package exchange

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"cairndock/internal/linger"
)

// readBuffer is the size of a connection's read buffer in bytes, the default of bufio.
const readBuffer = 4 << 10

// conn is a connection to an upstream. It carries one request at a time.
//
// Close resets the connection, so that the kernel discards what it has not delivered of the
// request. The kernel does the same when the process ends. After an ordinary close it would go
// on to deliver these bytes, and the upstream would run a request that was given up. A
// connection without a request in flight is closed with closeOrderly.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// received is the number of bytes read from the upstream.
	received atomic.Int64
	// idleSince is when the connection last became idle; zero for a new connection.
	// idleUntil is when the pool closes the connection. Both are set by pool.put.
	idleSince time.Time
	idleUntil time.Time
	// head limits the reads of the goroutine that parses a response head.
	head headLimit
}

func newConn(nc net.Conn) *conn {
	c := &conn{Conn: nc}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	linger.Discard(nc)
	return c
}

// closeOrderly closes the connection and lets the kernel deliver what was written. The request
// whose response is complete may still have undelivered bytes, because an upstream may respond
// before it has read the whole body.
func (c *conn) closeOrderly() {
	linger.Deliver(c.Conn)
	_ = c.Close() // no request is in flight
}

// Read implements net.Conn. While a response head is parsed, it returns no more bytes than the
// head may have.
func (c *conn) Read(p []byte) (int, error) {
	if c.head.parsing {
		if c.head.left <= 0 {
			return 0, errHeadLimit
		}
		p = p[:min(len(p), c.head.left)]
	}
	n, err := c.Conn.Read(p)
	c.head.left -= n
	c.received.Add(int64(n))
	return n, err
}

// errUnexpectedBytes is the error of an idle connection on which bytes arrived that
// belong to no request.
var errUnexpectedBytes = eris.New("unexpected bytes on an idle connection")

// idleError returns why an idle connection can't be used, or nil if it can: bytes
// arrived that belong to no request, or the upstream closed the connection. It does not
// block.
func (c *conn) idleError() error {
	if c.reader.Buffered() > 0 {
		return errUnexpectedBytes
	}
	return c.control(peek)
}

// next returns the next bytes of the connection that have already arrived, at most n, without
// consuming them. If the buffer is empty and fromKernel is set, it returns bytes that the kernel
// has received.
func (c *conn) next(n int, fromKernel bool) []byte {
	if b, _ := c.reader.Peek(min(c.reader.Buffered(), n)); len(b) > 0 || !fromKernel { // these bytes are in the buffer
		return b
	}
	b := make([]byte, n)
	read := 0
	// After an error no bytes are known.
	_ = c.control(func(fd int) (err error) {
		read, _, err = unix.Recvfrom(fd, b, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return err
	})
	return b[:max(read, 0)]
}

// unacknowledged returns the number of written bytes that the other end's kernel has not
// acknowledged, or 0 if it is not known.
func (c *conn) unacknowledged() int {
	raw, err := c.raw()
	if raw == nil || err != nil {
		return 0
	}
	n := 0
	err = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if err != nil {
		return 0
	}
	return n
}

// raw returns the raw connection, or nil if there is none.
func (c *conn) raw() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, nil
	}
	return sc.SyscallConn()
}

// control calls f with the descriptor of the connection, which is non-blocking, if it has one.
func (c *conn) control(f func(fd int) error) error {
	raw, err := c.raw()
	if raw == nil || err != nil {
		return err
	}
	var result error
	err = raw.Read(func(fd uintptr) bool {
		result = f(int(fd))
		return true
	})
	if err != nil {
		return err
	}
	return result
}

// peek tries to read one byte of a non-blocking socket. It returns nil if there is none,
// as is normal for an idle connection.
func peek(fd int) error {
	var one [1]byte
	n, err := unix.Read(fd, one[:])
	switch {
	case err == unix.EAGAIN || err == unix.EWOULDBLOCK || err == unix.EINTR:
		return nil
	case err != nil:
		return err
	case n == 0:
		return io.EOF
	default:
		return errUnexpectedBytes
	}
}
