package peer

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// abandonedBytes is the size of a request that fits into the send buffer of a connection but
// not into the receive buffer of the other end.
const abandonedBytes = 100 << 10

// sendBufferTransport dials TCP connections with a send buffer that holds abandonedBytes.
type sendBufferTransport struct {
	TCP
	dialed chan net.Conn
}

func (t sendBufferTransport) Dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := t.TCP.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	t.dialed <- c
	return c, c.(*net.TCPConn).SetWriteBuffer(2 * abandonedBytes)
}

// A host that reaches no upstream sent a request through a peer that it could not reach either,
// and its client got 504. The close of the connection then delivered the request, and the peer
// sent it to an upstream seconds later.
func TestARequestIsNotDeliveredAfterItsConnectionIsClosed(t *testing.T) {
	for name, closeConn := range map[string]func(client *Mesh, address string, c net.Conn){
		"the connection is replaced": func(m *Mesh, address string, _ net.Conn) { m.Drop(address) },
		"the host stops":             func(m *Mesh, _ string, _ net.Conn) { m.Close() },
		"the process ends":           func(_ *Mesh, _ string, c net.Conn) { _ = c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = l.Close() }()
			accepted := make(chan *net.TCPConn, 1)
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				_ = c.(*net.TCPConn).SetReadBuffer(8 << 10)
				stuckPeer(c, Hello{Host: "stuck", KeepAlive: true})
				accepted <- c.(*net.TCPConn)
			}()
			transport := sendBufferTransport{TCP((&net.Dialer{}).DialContext), make(chan net.Conn, 1)}
			client := NewMesh(Hello{Host: "client"}, transport, echoHandler{})
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			_, err = client.Open(ctx, l.Addr().String(), KindForward, make([]byte, abandonedBytes))
			require.ErrorIs(t, err, ErrLost)

			closeConn(client, l.Addr().String(), <-transport.dialed)
			c := <-accepted
			defer func() { _ = c.Close() }()
			n, err := io.Copy(io.Discard, c)
			require.ErrorIs(t, err, syscall.ECONNRESET)
			require.Less(t, n, int64(abandonedBytes))
		})
	}
}
