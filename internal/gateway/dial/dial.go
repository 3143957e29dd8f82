// Package dial opens the gateway's outgoing TCP connections: to upstreams, to the
// platform's store and to peers.
//
// A link that is cut drops packets without a reset, and TCP alone would retransmit for
// minutes. So the kernel probes silent connections, and closes connections whose data
// stays unacknowledged. The selector uses net.Dialer instead, because it detects a cut
// by its heartbeats and by the deadline of each request.
package dial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle is how long a connection is silent before the kernel sends the first
	// probe, and keepAliveInterval the interval between two probes. Both are whole seconds,
	// because the kernel accepts no others. The kernel closes the connection at the first
	// probe that is due maxUnacknowledged or longer after the last byte from the other end,
	// if the one before was not answered. A link that is cut without a reset is therefore
	// detected after keepAliveIdle + keepAliveInterval.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	// keepAliveCount is the number of unanswered probes after which the connection is
	// closed on systems on which TCP_USER_TIMEOUT does not apply to probes.
	keepAliveCount = 3
	// maxUnacknowledged is the maximum time for which sent data may stay unacknowledged
	// before the connection fails (TCP_USER_TIMEOUT).
	maxUnacknowledged = 1200 * time.Millisecond
)

// New returns a dialer whose connections fail soon after their link is cut. timeout
// bounds the time until a connection is established.
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
