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
	// readBuffer is the size of a connection's read buffer, in bytes. 4 KiB is
	// the default of bufio; chosen, not measured here.
	readBuffer = 4 << 10
	// keepAliveIdle is how long a connection is silent before the kernel probes
	// it. With the two constants below a link that is cut without a reset is
	// found within keepAliveIdle + keepAliveCount*keepAliveInterval, 2.5 s. All
	// three were chosen, not measured.
	keepAliveIdle = time.Second
	// keepAliveInterval is the time between two probes.
	keepAliveInterval = 500 * time.Millisecond
	// keepAliveCount is the number of unanswered probes after which the
	// connection is closed.
	keepAliveCount = 3
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

// conn is a connection to an upstream. It carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idleUntil is when the pool closes the connection; it is set by Pool.put.
	idleUntil time.Time
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBuffer)}
}

// errUnexpectedBytes is the error of an idle connection on which bytes arrived:
// they belong to no request.
var errUnexpectedBytes = eris.New("unexpected bytes on an idle connection")

// idleError reports why an idle connection can't be used: bytes that belong to
// no request, or the upstream's close. It does not block.
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

// peek reads one byte of a non-blocking socket; an idle one has none.
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
