package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/route"
)

// setClientLimits applies a configuration with limits for client connections.
func (g *testGateway) setClientLimits(header, idle time.Duration) {
	g.putOperatorRow("config", operatorRow{
		Version: g.version + 1, Routes: []route.Route{testRoute(route.Repeatable)},
		Limits: route.Limits{HeaderTimeout: header, IdleTimeout: idle},
	})
}

// connect opens a client connection to a new server of the gateway.
func (g *testGateway) connect() net.Conn {
	g.t.Helper()
	_, address := g.listen()
	c, err := net.Dial("tcp", address)
	require.NoError(g.t, err)
	g.t.Cleanup(func() { _ = c.Close() })
	return c
}

const rawRequest = "GET /x/1 HTTP/1.1\r\nHost: a.example\r\nId: id-1\r\n\r\n"

// sendOn sends a request on a connection and reads the response.
func sendOn(t *testing.T, c net.Conn) {
	t.Helper()
	_, err := io.WriteString(c, rawRequest)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

// timeUntilClosed waits until the server closes a connection, and returns how long that
// took.
func timeUntilClosed(t *testing.T, c net.Conn) time.Duration {
	t.Helper()
	began := time.Now()
	require.NoError(t, c.SetReadDeadline(began.Add(5*time.Second)))
	_, err := c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	return time.Since(began)
}

func TestAClientConnectionIsClosedAfterTheConfiguredIdleTimeout(t *testing.T) {
	g := newTestGateway(t)
	g.setClientLimits(time.Second, 300*time.Millisecond)
	g.addUpstream(healthy)
	c := g.connect()
	for range 3 {
		time.Sleep(200 * time.Millisecond)
		sendOn(t, c)
	}
	require.GreaterOrEqual(t, timeUntilClosed(t, c), 290*time.Millisecond)
}

// A client that has the newer configuration may already rely on its idle timeout.
func TestAnIdleConnectionFollowsANewerIdleTimeout(t *testing.T) {
	g := newTestGateway(t)
	g.setClientLimits(time.Second, 300*time.Millisecond)
	g.addUpstream(healthy)
	c := g.connect()
	sendOn(t, c)
	g.setClientLimits(time.Second, 900*time.Millisecond)
	time.Sleep(600 * time.Millisecond)
	sendOn(t, c)
}

func TestAStalledHeaderClosesItsConnection(t *testing.T) {
	for name, before := range map[string]int{"on a new connection": 0, "after a request": 1} {
		t.Run(name, func(t *testing.T) {
			g := newTestGateway(t)
			g.setClientLimits(200*time.Millisecond, time.Minute)
			g.addUpstream(healthy)
			c := g.connect()
			for range before {
				sendOn(t, c)
			}
			_, err := fmt.Fprint(c, rawRequest[:20])
			require.NoError(t, err)
			require.GreaterOrEqual(t, timeUntilClosed(t, c), 190*time.Millisecond)
		})
	}
}

// The header and idle timeouts of a connection never abort a request in flight.
func TestARequestInFlightOutlastsTheConnectionLimits(t *testing.T) {
	g := newTestGateway(t)
	g.setClientLimits(50*time.Millisecond, 50*time.Millisecond)
	g.addUpstream(func(c net.Conn, r *http.Request) {
		time.Sleep(300 * time.Millisecond)
		healthy(c, r)
	})
	sendOn(t, g.connect())
}
