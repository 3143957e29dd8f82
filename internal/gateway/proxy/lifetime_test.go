package proxy_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/route"
)

func TestTheRoutesTimeoutEndsARequest(t *testing.T) {
	for _, repeat := range []route.Repeat{route.Repeatable, route.Once} {
		g := newTestGateway(t)
		g.setRoutes(testRoute(repeat))
		g.addUpstream(func(net.Conn, *http.Request) { time.Sleep(2 * time.Second) })
		began := time.Now()
		resp, _ := g.get()
		require.Equal(t, 504, resp.StatusCode)
		require.Equal(t, "may-have-run", resp.Header.Get("Verdict"))
		require.InDelta(t, 0.5, time.Since(began).Seconds(), 0.2)
	}
}

// When the client leaves, a repeatable request is canceled at its upstream. Any other request
// continues there, but is never sent again.
func TestAClientThatLeavesCancelsOnlyWhatMayRunAgain(t *testing.T) {
	t.Run("repeatable", func(t *testing.T) {
		g := newTestGateway(t)
		g.setRoutes(testRoute(route.Repeatable))
		canceled := make(chan struct{})
		g.addUpstream(func(c net.Conn, _ *http.Request) {
			_, _ = c.Read(make([]byte, 1))
			close(canceled)
		})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, _, err := g.do(ctx, http.MethodGet, "/x/", "")
		require.Error(t, err)
		select {
		case <-canceled:
		case <-time.After(300 * time.Millisecond):
			t.Fatal("the upstream still works on the request")
		}
	})
	t.Run("once", func(t *testing.T) {
		g := newTestGateway(t)
		g.setRoutes(testRoute(route.Once))
		slowShed := func(c net.Conn, r *http.Request) {
			time.Sleep(250 * time.Millisecond)
			shedding(c, r)
		}
		a, b := g.addUpstream(slowShed), g.addUpstream(slowShed)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, _, err := g.do(ctx, http.MethodPost, "/x/", "body")
		require.Error(t, err)
		time.Sleep(500 * time.Millisecond)
		require.EqualValues(t, 1, a.Load()+b.Load())
	})
}

// A client that does not read its response, or whose connection no longer delivers packets,
// must not occupy the upstream and its connection forever.
func TestAClientThatDoesNotReadItsResponseIsDisconnected(t *testing.T) {
	t.Parallel()
	g := newTestGateway(t)
	g.setRoutes(testRoute(route.Repeatable)) // its timeout is 500 ms
	ended := make(chan struct{})
	g.addUpstream(func(c net.Conn, r *http.Request) {
		defer close(ended)
		half(c, r, 64<<20, 64<<20)
	})
	_, address := g.listen()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, rawRequest)
	require.NoError(t, err)
	select {
	case <-ended:
	case <-time.After(8 * time.Second):
		t.Fatal("the upstream still sends")
	}
	require.Eventually(t, func() bool { return g.proxy.InFlight() == 0 }, time.Second, 10*time.Millisecond)
}
