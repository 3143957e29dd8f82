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

	"cairndock/internal/gateway/proxy"
	"cairndock/internal/gateway/route"
)

// limited puts limits of callers' connections in force.
func (w *world) limited(header, idle time.Duration) {
	w.intent("config", intentRow{
		Version: w.version + 1, Routes: []route.Route{usual(route.Repeatable)},
		Limits: route.Limits{HeaderTimeout: header, IdleTimeout: idle},
	})
}

// connect opens a caller's connection to a server of the gateway.
func (w *world) connect() net.Conn {
	w.t.Helper()
	s := proxy.NewServer(w.gateway)
	w.t.Cleanup(s.Close)
	require.NoError(w.t, s.ListenClients("127.0.0.1:0"))
	c, err := net.Dial("tcp", s.ClientAddress())
	require.NoError(w.t, err)
	w.t.Cleanup(func() { _ = c.Close() })
	return c
}

const callersRequest = "GET /x/1 HTTP/1.1\r\nHost: a.example\r\nId: id-1\r\n\r\n"

// exchangeOn sends a request on a connection and reads the answer.
func exchangeOn(t *testing.T, c net.Conn) {
	t.Helper()
	_, err := io.WriteString(c, callersRequest)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

// closedAfter waits until the server closes a connection.
func closedAfter(t *testing.T, c net.Conn) time.Duration {
	t.Helper()
	began := time.Now()
	require.NoError(t, c.SetReadDeadline(began.Add(5*time.Second)))
	_, err := c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	return time.Since(began)
}

func TestACallersConnectionRestsAsLongAsTheConfigurationSays(t *testing.T) {
	w := newWorld(t)
	w.limited(time.Second, 300*time.Millisecond)
	w.upstream(sound)
	c := w.connect()
	for range 3 {
		time.Sleep(200 * time.Millisecond)
		exchangeOn(t, c)
	}
	require.GreaterOrEqual(t, closedAfter(t, c), 290*time.Millisecond)
}

// A caller that knows the newer configuration may already count on it.
func TestARestThatBeganUnderAShorterLimitLastsAsLongAsTheNewOne(t *testing.T) {
	w := newWorld(t)
	w.limited(time.Second, 300*time.Millisecond)
	w.upstream(sound)
	c := w.connect()
	exchangeOn(t, c)
	w.limited(time.Second, 900*time.Millisecond)
	time.Sleep(600 * time.Millisecond)
	exchangeOn(t, c)
}

func TestAHeaderThatStallsEndsItsConnection(t *testing.T) {
	for name, before := range map[string]int{"on a new connection": 0, "after a request": 1} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.limited(200*time.Millisecond, time.Minute)
			w.upstream(sound)
			c := w.connect()
			for range before {
				exchangeOn(t, c)
			}
			_, err := fmt.Fprint(c, callersRequest[:20])
			require.NoError(t, err)
			require.GreaterOrEqual(t, closedAfter(t, c), 190*time.Millisecond)
		})
	}
}

// What is being served is never cut by the limits of a connection.
func TestARequestBeingServedOutlastsTheLimits(t *testing.T) {
	w := newWorld(t)
	w.limited(50*time.Millisecond, 50*time.Millisecond)
	w.upstream(func(c net.Conn, r *http.Request) {
		time.Sleep(300 * time.Millisecond)
		sound(c, r)
	})
	exchangeOn(t, w.connect())
}
