package peer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pausedTransport accepts connections whose reads return late while the process
// is paused. The kernel buffers the bytes that arrive.
type pausedTransport struct {
	Transport
	until *atomic.Int64
}

type pausedListener struct {
	net.Listener
	until *atomic.Int64
}

type pausedConn struct {
	net.Conn
	until *atomic.Int64
}

func (p pausedTransport) Listen(a string) (net.Listener, error) {
	l, err := p.Transport.Listen(a)
	return pausedListener{l, p.until}, err
}

func (l pausedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return pausedConn{c, l.until}, err
}

func (c pausedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	waitUntil(c.until)
	return n, err
}

func waitUntil(until *atomic.Int64) {
	for time.Now().UnixNano() < until.Load() {
		time.Sleep(10 * time.Millisecond)
	}
}

type pausedHandler struct{ until *atomic.Int64 }

func (h pausedHandler) ServePeer(_ context.Context, _ Hello, _ Kind, _ []byte, w *Responder) {
	time.Sleep(300 * time.Millisecond)
	waitUntil(h.until)
	_ = w.Send("done") // the peer detects a lost response
}

// A peer that is paused for some seconds must still respond to earlier
// requests. A silence of 2.5 s used to end such a request, which may not be
// sent again, although its response arrived soon after.
func TestAPeerThatWasPausedAnswersWhatItWasSent(t *testing.T) {
	var until atomic.Int64
	tcp := TCP((&net.Dialer{}).DialContext)
	server := NewMesh(Hello{Host: "server"}, pausedTransport{tcp, &until}, pausedHandler{&until})
	addr, err := server.Listen("127.0.0.1:0")
	require.NoError(t, err)
	client := NewMesh(Hello{Host: "client"}, tcp, echoHandler{})
	defer func() {
		client.Close()
		server.Close()
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_, err = Call[string](ctx, client, addr, KindForward, "a")
	require.NoError(t, err)
	time.AfterFunc(100*time.Millisecond, func() { until.Store(time.Now().Add(4 * time.Second).UnixNano()) })
	_, err = Call[string](ctx, client, addr, KindForward, "b")
	require.NoError(t, err)
}
