package entry

import (
	"context"
	"net"

	"github.com/rotisserie/eris"
)

// TCP is the transport that hosts use but for tests.
type TCP struct{}

// Dial makes a TCP connection.
func (TCP) Dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	return c, eris.Wrap(err, "dial peer")
}

// Listen listens for TCP connections.
func (TCP) Listen(addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	return l, eris.Wrap(err, "listen")
}
