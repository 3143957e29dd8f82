package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/dial"
	"cairndock/internal/gateway/exchange"
	registry "cairndock/internal/gateway/upstream"
	"cairndock/internal/verdict"
)

// protocol is a minimal protocol for tests.
type protocol struct{}

func (protocol) SetHeaders(h http.Header, upstream string, left time.Duration) {
	h.Set("To", upstream)
	h.Set("Left", left.Round(time.Second).String())
}

func (protocol) ParseResponse(id string, _ int, h http.Header) exchange.ResponseInfo {
	return exchange.ResponseInfo{WrongRequest: h.Get("Id") != id, NotExecuted: h.Get("Not-Run") != "", Signed: true}
}

// upstream is a scripted upstream. Its script writes the raw bytes of each response and
// returns whether the connection stays open.
type upstream struct {
	address string
	conns   atomic.Int64
}

type script func(c net.Conn, r *http.Request, n int) (keepOpen bool)

func start(t *testing.T, s script) *upstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	u := &upstream{address: l.Addr().String()}
	var n atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.conns.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if !s(c, r, int(n.Add(1))) {
						return
					}
				}
			}()
		}
	}()
	return u
}

func ok(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func write(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func client() *exchange.Client {
	return exchange.NewClient(dial.New(300*time.Millisecond).DialContext, protocol{})
}

func send(t *testing.T, c *exchange.Client, u *upstream, id string) (int, string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	a, err := c.Send(ctx, target(u.address), &exchange.Request{
		ID: id, Method: http.MethodGet, Target: "/x?q=1", Host: "a.example", Header: http.Header{"Id": {id}},
	})
	if err != nil {
		return 0, "", err
	}
	defer func() { require.NoError(t, a.Body.Close()) }()
	body, err := io.ReadAll(a.Body)
	return a.Status, string(body), err
}

func TestARequestAndItsResponseArriveUnchanged(t *testing.T) {
	u := start(t, func(c net.Conn, r *http.Request, _ int) bool {
		write(c, ok(r.Header.Get("Id"), r.Method+" "+r.RequestURI+" "+r.Host+" "+r.Header.Get("To")+" "+r.Header.Get("Left")))
		return true
	})
	c := client()
	for i := range 5 {
		status, body, err := send(t, c, u, fmt.Sprint("r", i))
		require.NoError(t, err)
		require.Equal(t, 200, status)
		require.Equal(t, "GET /x?q=1 a.example i 1s", body)
	}
	require.EqualValues(t, 1, u.conns.Load(), "one connection serves all requests in turn")
}

// An upstream may send an extra response late, so that it precedes the response to the
// next request. The ID of the extra response shows that it belongs to another request.
func TestAResponseToAnotherRequestIsNeverReturned(t *testing.T) {
	u := start(t, func(c net.Conn, r *http.Request, n int) bool {
		if n == 2 {
			write(c, ok("r1", "late and wrong"))
		}
		write(c, ok(r.Header.Get("Id"), "right"))
		return true
	})
	c := client()
	for i := 1; i <= 3; i++ {
		_, body, err := send(t, c, u, fmt.Sprint("r", i))
		require.NoError(t, err)
		require.Equal(t, "right", body)
	}
}

func TestBytesOnAnIdleConnectionCloseIt(t *testing.T) {
	u := start(t, func(c net.Conn, r *http.Request, _ int) bool {
		write(c, ok(r.Header.Get("Id"), "right")+ok(r.Header.Get("Id"), "extra"))
		return true
	})
	c := client()
	for i := 1; i <= 3; i++ {
		_, body, err := send(t, c, u, "same")
		require.NoError(t, err)
		require.Equal(t, "right", body)
		time.Sleep(10 * time.Millisecond)
	}
	require.EqualValues(t, 3, u.conns.Load())
}

func TestAConnectionThatTheUpstreamClosedIsNotUsed(t *testing.T) {
	u := start(t, func(c net.Conn, r *http.Request, _ int) bool {
		write(c, ok(r.Header.Get("Id"), "right"))
		return false
	})
	c := client()
	for i := range 3 {
		_, _, err := send(t, c, u, fmt.Sprint(i))
		require.NoError(t, err)
		time.Sleep(10 * time.Millisecond)
	}
}

func TestKeepAliveBoundsTheIdleTimeOfAConnection(t *testing.T) {
	u := start(t, func(c net.Conn, r *http.Request, _ int) bool {
		write(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nKeep-Alive: max=9, timeout=0\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	c := client()
	for i := range 2 {
		_, _, err := send(t, c, u, fmt.Sprint(i))
		require.NoError(t, err)
		time.Sleep(5 * time.Millisecond)
	}
	require.EqualValues(t, 2, u.conns.Load())
}

func TestWithoutACompleteResponseARequestMayHaveRun(t *testing.T) {
	cases := map[string]script{
		"reset":         func(c net.Conn, _ *http.Request, _ int) bool { reset(c); return false },
		"closed":        func(net.Conn, *http.Request, int) bool { return false },
		"no protocol":   func(c net.Conn, _ *http.Request, _ int) bool { write(c, "\x00\x01 rubbish\r\n\r\n"); return false },
		"half a header": func(c net.Conn, _ *http.Request, _ int) bool { write(c, "HTTP/1.1 200 OK\r\nId: r"); return false },
		"no response":   func(net.Conn, *http.Request, int) bool { time.Sleep(1500 * time.Millisecond); return false },
		"only another's": func(c net.Conn, _ *http.Request, _ int) bool {
			write(c, ok("another", "x"))
			return false
		},
	}
	for name, s := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, _, err := send(t, client(), start(t, s), "r")
			require.Error(t, err)
			require.Equal(t, verdict.MayHaveRun, verdict.From(err).Verdict)
		})
	}
}

func TestABodyThatBreaksOffNeverLooksComplete(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: r\r\n"
	cases := map[string]script{
		"length": func(c net.Conn, _ *http.Request, _ int) bool {
			write(c, head+"Content-Length: 10\r\n\r\nhalf")
			return false
		},
		"chunks": func(c net.Conn, _ *http.Request, _ int) bool {
			write(c, head+"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
			return false
		},
		"reset without a length": func(c net.Conn, _ *http.Request, _ int) bool {
			write(c, head+"\r\nhalf")
			time.Sleep(20 * time.Millisecond)
			reset(c)
			return false
		},
	}
	for name, s := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, _, err := send(t, client(), start(t, s), "r")
			require.Error(t, err)
		})
	}
}

func TestAResponseWithoutALengthEndsWithItsConnection(t *testing.T) {
	u := start(t, func(c net.Conn, _ *http.Request, _ int) bool {
		write(c, "HTTP/1.1 200 OK\r\nId: r\r\n\r\nwhole")
		return false
	})
	c := client()
	for range 2 {
		_, body, err := send(t, c, u, "r")
		require.NoError(t, err)
		require.Equal(t, "whole", body)
	}
	require.EqualValues(t, 2, u.conns.Load())
}

func TestNoConnectionIsProofThatNothingRan(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	u := &upstream{address: l.Addr().String()}
	require.NoError(t, l.Close())
	_, _, err = send(t, client(), u, "r")
	require.Equal(t, verdict.NotRun, verdict.From(err).Verdict)
	require.Equal(t, verdict.ConnectionRefused, verdict.From(err).Reason)
}

// When a client leaves, its connection to the upstream is closed, so that the upstream
// stops processing the request.
func TestAContextThatEndsClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	u := start(t, func(c net.Conn, _ *http.Request, _ int) bool {
		one := make([]byte, 1)
		_, _ = c.Read(one)
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := client().Send(ctx, target(u.address), &exchange.Request{ID: "r", Method: "GET", Target: "/", Host: "a", Header: http.Header{}})
	require.Equal(t, verdict.CallerLeft, verdict.From(err).Reason)
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the upstream's connection stayed open")
	}
}

func TestRetainClosesConnectionsToRemovedUpstreams(t *testing.T) {
	u := start(t, func(c net.Conn, r *http.Request, _ int) bool {
		write(c, ok(r.Header.Get("Id"), strings.Repeat("x", 9000)))
		return true
	})
	c := client()
	_, _, err := send(t, c, u, "r")
	require.NoError(t, err)
	require.Equal(t, 1, c.Idle())
	c.Retain(func(registry.Run) bool { return false })
	require.Zero(t, c.Idle())
}

// target returns the upstream "i" at an address.
func target(address string) exchange.Target {
	return exchange.Target{Upstream: "i", Run: "i", Address: address}
}

// A process that restarted at its address during a silent cut has no state of the
// connections to its earlier run. A request on one of those connections is lost.
func TestConnectionsToAnEarlierRunAreNotUsed(t *testing.T) {
	u := start(t, func(c net.Conn, r *http.Request, _ int) bool {
		write(c, ok(r.Header.Get("Id"), "body"))
		return true
	})
	c := client()
	for i, run := range []registry.Run{"i@10", "i@10", "i@20"} {
		id := fmt.Sprint(i)
		a, err := c.Send(t.Context(), exchange.Target{Upstream: "i", Run: run, Address: u.address}, &exchange.Request{ID: id, Method: "GET", Target: "/", Host: "a", Header: http.Header{"Id": {id}}})
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, a.Body)
		require.NoError(t, err)
		require.NoError(t, a.Body.Close())
	}
	require.EqualValues(t, 2, u.conns.Load(), "one connection for each run")
	c.Retain(func(run registry.Run) bool { return run == "i@20" })
	require.Equal(t, 1, c.Idle())
}
