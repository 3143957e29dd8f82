package peer

import (
	"context"
	"net"

	"github.com/rotisserie/eris"
)

// TCP is the transport without TLS. It dials by a DialContext, such as that of
// a net.Dialer, which decides how soon a silent cut breaks a connection.
type TCP func(ctx context.Context, network, address string) (net.Conn, error)

// Dial connects to a peer.
func (t TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := t(ctx, "tcp", address)
	return c, eris.Wrap(err, "dial peer")
}

// Listen listens for peers.
func (TCP) Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, eris.Wrap(err, "listen")
}
