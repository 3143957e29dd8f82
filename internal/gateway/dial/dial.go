// Package dial makes the gateway's outgoing TCP connections: to upstreams, to
// the platform's store and to peers.
//
// A link that is cut drops packets without a reset, and TCP alone would retry
// for minutes. So the kernel probes silent connections, and closes those whose
// data stays unacknowledged. The selector path dials with net.Dialer instead: a
// cut shows there by its heartbeats and by the deadline of each request.
package dial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
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

// Dialer makes TCP connections that fail soon when their link is cut.
type Dialer struct {
	// Timeout bounds the time until a connection is established.
	Timeout time.Duration
	// Unacknowledged is how long sent data may stay unacknowledged before the
	// connection fails (TCP_USER_TIMEOUT); zero leaves it to the kernel.
	Unacknowledged time.Duration
}

// DialContext connects to an address. It has the form of net.Dialer's.
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
