package linger_test

import (
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"cairndock/internal/linger"
)

// sent is more than the receive buffer of the other end, and less than both buffers.
const sent = 128 << 10

func TestACloseDeliversOrDiscards(t *testing.T) {
	for name, c := range map[string]struct {
		set     func(net.Conn)
		deliver bool
	}{
		"default":          {func(net.Conn) {}, true},
		"discard":          {linger.Discard, false},
		"deliver":          {linger.Deliver, true},
		"deliver in place": {func(c net.Conn) { linger.Discard(c); linger.Deliver(c) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := connect(t)
			c.set(near)
			_, err := near.Write(make([]byte, sent))
			require.NoError(t, err)
			require.NoError(t, near.Close())
			n, err := io.Copy(io.Discard, far)
			if c.deliver {
				require.NoError(t, err)
				require.EqualValues(t, sent, n)
				return
			}
			require.ErrorIs(t, err, syscall.ECONNRESET)
			require.Less(t, n, int64(sent))
		})
	}
}

// connect returns both ends of a connection whose far end has a small receive buffer.
func connect(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	dialed, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	accepted, err := l.Accept()
	require.NoError(t, err)
	near, far = dialed.(*net.TCPConn), accepted.(*net.TCPConn)
	t.Cleanup(func() {
		_ = near.Close() // the test may have closed it
		_ = far.Close()
	})
	require.NoError(t, far.SetReadBuffer(32<<10))
	require.NoError(t, near.SetWriteBuffer(2*sent))
	return near, far
}

// A connection in memory has no linger option.
func TestOtherConnectionsAreLeftAsTheyAre(t *testing.T) {
	near, far := net.Pipe()
	linger.Discard(near)
	require.NoError(t, near.Close())
	_, err := far.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}
