package exchange_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"cairndock/internal/gateway/dial"
	"cairndock/internal/gateway/exchange"
)

const (
	// receiveBuffer is the size of the receive buffer of a stalledUpstream in bytes.
	receiveBuffer = 4 << 10
	// sendBuffer is the size of the send buffer of the client's connections in bytes. It
	// holds a request of stalledRequest.
	sendBuffer = 200 << 10
	// stalledBodyBytes is the size of the body of a stalledRequest in bytes.
	stalledBodyBytes = 100 << 10
)

// stalledUpstream accepts connections and leaves reading to the test. A request that does not
// fit into its receive buffer waits in the kernel of the client, as behind a link that is cut.
type stalledUpstream struct {
	target   exchange.Target
	client   *exchange.Client
	accepted chan net.Conn
	// dialed has the client's ends of the connections.
	dialed chan net.Conn
}

func newStalledUpstream(t *testing.T) *stalledUpstream {
	t.Helper()
	config := net.ListenConfig{Control: setBuffer(unix.SO_RCVBUF, receiveBuffer)}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &stalledUpstream{
		target: exchange.Target{Upstream: "a", Run: "a", Address: l.Addr().String()}, accepted: make(chan net.Conn, 1), dialed: make(chan net.Conn, 1),
	}
	s.client = exchange.NewClient(s.dial, protocol{})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			s.accepted <- c
		}
	}()
	return s
}

func (s *stalledUpstream) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := dial.New(time.Second).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	s.dialed <- c
	return c, c.(*net.TCPConn).SetWriteBuffer(sendBuffer)
}

func setBuffer(option, bytes int) func(string, string, syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, option, bytes) })
	}
}

// stalledRequest is a request that fits into the send buffer but not into the receive buffer.
func stalledRequest() *exchange.Request {
	return &exchange.Request{ID: "1", Method: http.MethodPost, Target: "/", Host: "a", Header: http.Header{}, Body: make([]byte, stalledBodyBytes)}
}

// readRequest reads a request with its body. It returns the number of bytes of the body.
func readRequest(c net.Conn) (body int64, err error) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return 0, err
	}
	return io.Copy(io.Discard, r.Body)
}

// A request got no response because its link was cut, which the log did not distinguish from
// an upstream that received the request and did not respond.
func TestUnacknowledgedBytesOfARequestThatWasGivenUpAreCounted(t *testing.T) {
	t.Run("not received", func(t *testing.T) {
		s := newStalledUpstream(t)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		progress := &exchange.Progress{}
		_, err := s.client.SendWatched(ctx, s.target, stalledRequest(), progress)
		require.Error(t, err)
		require.Positive(t, progress.Unacknowledged())
	})
	t.Run("received", func(t *testing.T) {
		s := newStalledUpstream(t)
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		progress := &exchange.Progress{}
		go func() { _, _ = readRequest(<-s.accepted) }()
		_, err := s.client.SendWatched(ctx, s.target, stalledRequest(), progress)
		require.Error(t, err)
		require.Zero(t, progress.Unacknowledged())
	})
}
