// Package dial makes the gateway's outgoing TCP connections: to upstreams, to
// the platform's store and to peers.
//
// A link that is cut drops packets without a reset, and TCP alone would retry
// for minutes. So the kernel probes silent connections, and closes those whose
// data stays unacknowledged. The selector path dials with net.Dialer instead: a
// cut shows there by its heartbeats and by the deadline of each request.
package dial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle is how long a connection is silent before the kernel probes
	// it. With the two constants below a link that is cut without a reset is
	// found within keepAliveIdle + keepAliveCount*keepAliveInterval, 2.5 s.
	keepAliveIdle = time.Second
	// keepAliveInterval is the time between two probes.
	keepAliveInterval = 500 * time.Millisecond
	// keepAliveCount is the number of unanswered probes after which the
	// connection is closed.
	keepAliveCount = 3
	// maxUnacknowledged is how long sent data may stay unacknowledged before
	// the connection fails (TCP_USER_TIMEOUT).
	maxUnacknowledged = 1200 * time.Millisecond
)

// New makes a dialer whose connections fail soon when their link is cut.
// timeout bounds the time until a connection is established.
func New(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setUserTimeout,
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(maxUnacknowledged.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
