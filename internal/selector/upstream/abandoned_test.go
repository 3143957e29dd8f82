package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/call"
	"cairndock/internal/selector/slot"
)

// abandonedBytes is the size of a request that fits into the send buffer of a connection but
// not into the receive buffer of an upstream.
const abandonedBytes = 100 << 10

// A request to an upstream that could not be reached stayed in the kernel after its deadline,
// which delivered it to the upstream minutes later.
func TestARequestIsNotDeliveredLongAfterItsDeadline(t *testing.T) {
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
		accepted <- c.(*net.TCPConn)
	}()
	client := New(func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return c, c.(*net.TCPConn).SetWriteBuffer(2 * abandonedBytes)
	}, nil)
	defer client.Close()
	free := make(chan struct{})
	request := &call.Request{Service: "s", Method: http.MethodPost, Target: "/", Body: make([]byte, abandonedBytes), Deadline: time.Now().Add(200 * time.Millisecond)}
	_, err = client.Send(t.Context(), Target{Name: "up", Zone: "z", Addr: l.Addr().String()}, request, func(slot.Outcome, time.Duration) { close(free) })
	require.Error(t, err)
	<-free
	c := <-accepted
	defer func() { _ = c.Close() }()
	n, err := io.Copy(io.Discard, c)
	require.ErrorIs(t, err, syscall.ECONNRESET)
	require.Less(t, n, int64(abandonedBytes))
}
