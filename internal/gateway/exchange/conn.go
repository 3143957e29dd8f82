package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	// readBuffer is a connection's buffer for reading, in bytes.
	readBuffer = 4 << 10
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a silent
	// cut on a connection that waits.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
)

// Dialer makes TCP connections that notice a silent cut.
type Dialer struct {
	// Timeout bounds the making of a connection, and Unacknowledged how
	// long sent data may go without an acknowledgement.
	Timeout        time.Duration
	Unacknowledged time.Duration
}

// DialContext connects to an address.
func (d Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: d.Timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, d.Unacknowledged) },
	}
	return dialer.DialContext(ctx, network, address)
}

func setUserTimeout(raw syscall.RawConn, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// conn is a connection to an upstream. One request at a time uses it.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// usable is until when it may rest; zero is forever.
	idleUntil time.Time
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBuffer)}
}

// errUnasked says that bytes came on a connection where nothing was asked.
var errUnexpectedBytes = eris.New("unasked bytes on an idle connection")

// idleError tells what is wrong with a connection that rests: bytes that
// nobody asked for, or the other side's close. It does not block.
func (c *conn) idleError() error {
	if c.reader.Buffered() > 0 {
		return errUnexpectedBytes
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var found error
	err = raw.Read(func(fd uintptr) bool {
		found = peek(int(fd))
		return true
	})
	if err != nil {
		return err
	}
	return found
}

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
