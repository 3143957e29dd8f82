package proxy_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/proxy"
	"cairndock/internal/httpserver/httpservertest"
)

// Clients saw a kept connection closed with no response to a lookup that an
// upstream had got. The host was short of processor time:
//
//  1. the connection's goroutine read the request's bytes from the kernel, and
//     was not run again before it had noted that the connection was in use;
//  2. the end of the idle time (or of the time for a header, or a planned stop)
//     closed the connection, which still counted as idle;
//  3. the goroutine ran again, parsed the request and sent it to an upstream.
//
// The evidence is the host's own log: the idle end had closed the connection 12
// ms before the request was served, and the final line said that the client was
// cut off. Whoever decides to end a connection must know what was read from it.

// connectLate opens a connection to a server of the gateway and sends a first
// request on it. From then on the server's reads return late.
func (g *testGateway) connectLate(late time.Duration) (*proxy.Server, net.Conn) {
	g.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(g.t, err)
	s := proxy.NewServer(g.proxy)
	g.t.Cleanup(s.Close)
	var delay atomic.Int64
	s.ServeClients(httpservertest.LateListener{Listener: l, Late: &delay})
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(g.t, err)
	g.t.Cleanup(func() { _ = c.Close() })
	sendOn(g.t, c)
	delay.Store(int64(late))
	return s, c
}

// requireAnswer reads the response to a request that was sent whole.
func requireAnswer(t *testing.T, c net.Conn) {
	t.Helper()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err, "the connection was closed with no response")
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "whole", string(body))
}

// late is how long reads are delayed; the connection's end falls within it, with
// some tenths of a second on either side for a busy machine.
const late = time.Second

func TestARequestThatWasReadBeforeTheIdleEndIsAnswered(t *testing.T) {
	t.Parallel()
	g := newTestGateway(t)
	g.setClientLimits(time.Minute, 500*time.Millisecond)
	g.addUpstream(healthy)
	_, c := g.connectLate(late)
	_, err := io.WriteString(c, rawRequest)
	require.NoError(t, err)
	requireAnswer(t, c)
}

func TestARequestThatWasReadBeforeTheHeadersEndIsAnswered(t *testing.T) {
	t.Parallel()
	g := newTestGateway(t)
	g.setClientLimits(700*time.Millisecond, time.Minute)
	g.addUpstream(healthy)
	_, c := g.connectLate(late)
	_, err := io.WriteString(c, rawRequest[:20])
	require.NoError(t, err)
	time.Sleep(late + 200*time.Millisecond)
	_, err = io.WriteString(c, rawRequest[20:])
	require.NoError(t, err)
	requireAnswer(t, c)
}

func TestARequestThatWasReadBeforeAStopClosesIdleConnectionsIsAnswered(t *testing.T) {
	t.Parallel()
	g := newTestGateway(t)
	g.setClientLimits(time.Minute, time.Minute)
	g.addUpstream(healthy)
	s, c := g.connectLate(late)
	aborted := make(chan int64, 1)
	go func() { aborted <- s.Stop(t.Context(), 4*time.Second) }()
	time.Sleep(1400 * time.Millisecond) // idle connections are closed at 1.8 s
	_, err := io.WriteString(c, rawRequest)
	require.NoError(t, err)
	requireAnswer(t, c)
	require.Zero(t, <-aborted)
}

// slowAccept returns a connection some time after the kernel made it.
type slowAccept struct{ net.Listener }

func (l slowAccept) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		time.Sleep(300 * time.Millisecond)
	}
	return c, err
}

// A stop must not count as done while a connection has been accepted that no
// one knows of yet.
func TestARequestOnAConnectionThatIsBeingAcceptedAtAStopIsAnswered(t *testing.T) {
	t.Parallel()
	g := newTestGateway(t)
	g.setClientLimits(time.Minute, time.Minute)
	g.addUpstream(func(c net.Conn, r *http.Request) {
		time.Sleep(150 * time.Millisecond)
		healthy(c, r)
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := proxy.NewServer(g.proxy)
	t.Cleanup(s.Close)
	s.ServeClients(slowAccept{l})
	stopped := make(chan int64, 1)
	go func() {
		n := s.Stop(t.Context(), 2*time.Second)
		s.Close() // as the process ends
		stopped <- n
	}()
	time.Sleep(800 * time.Millisecond) // the listener is closed from 0.9 s on
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, rawRequest)
	require.NoError(t, err)
	requireAnswer(t, c)
	require.Zero(t, <-stopped)
}
