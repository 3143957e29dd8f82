package peer

import (
	"context"
	"net"

	"github.com/rotisserie/eris"
)

// TCP is the transport without TLS. Its value is a DialContext function, such
// as that of a net.Dialer, which determines how soon a connection without
// acknowledgements breaks.
type TCP func(ctx context.Context, network, address string) (net.Conn, error)

// Dial connects to a peer at a TCP address.
func (t TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := t(ctx, "tcp", address)
	return c, eris.Wrap(err, "dial peer")
}

// Listen listens for peers at a TCP address.
func (TCP) Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, eris.Wrap(err, "listen")
}
