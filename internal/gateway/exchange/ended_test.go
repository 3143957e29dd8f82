package exchange_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/dial"
	"cairndock/internal/gateway/exchange"
)

// Upstreams terminated under a request behind a load balancer, which accepted new
// connections and reset each within a millisecond. Their termination was not detected,
// so the request was sent to one upstream after the other. In a run with 80 repeats of
// the request, 41 of these sends came later than 4 s after the third termination.
func TestAnAddressThatResetsEachConnectionHasTerminated(t *testing.T) {
	l, accepted := listenAndReset(t, func(int) bool { return true })
	client := exchange.NewClient(dial.New(time.Second).DialContext, nil)
	require.True(t, client.HasTerminated(t.Context(), exchange.Target{Upstream: "a", Run: "a", Address: l.Addr().String()}))
	require.Less(t, accepted.Load(), int64(10), "the address does not receive many connections")
}

// With 35 ms one way between regions, the reset of an accepted connection arrives 70 ms after
// the connection is open. Hosts of other regions took the upstream for running.
func TestAnAddressOfAnotherRegionThatResetsEachConnectionHasTerminated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const roundTrip = 70 * time.Millisecond
		dials := 0
		dialFar := func(context.Context, string, string) (net.Conn, error) {
			dials++
			time.Sleep(roundTrip)
			c, _ := net.Pipe()
			return lateResetConn{c, time.Now().Add(roundTrip)}, nil
		}
		client := exchange.NewClient(dialFar, nil)
		require.True(t, client.HasTerminated(t.Context(), exchange.Target{Upstream: "a", Run: "a", Address: "far"}))
		require.Less(t, dials, 10, "the address does not receive many connections")
	})
}

// lateResetConn is a connection whose reset arrives at a time.
type lateResetConn struct {
	net.Conn
	resetAt time.Time
}

// SyscallConn implements syscall.Conn.
func (c lateResetConn) SyscallConn() (syscall.RawConn, error) {
	if time.Now().Before(c.resetAt) {
		return openRawConn{}, nil
	}
	return nil, syscall.ECONNRESET
}

// openRawConn is the raw connection of an open connection without data.
type openRawConn struct{}

func (openRawConn) Control(func(fd uintptr)) error    { return nil }
func (openRawConn) Read(func(fd uintptr) bool) error  { return nil }
func (openRawConn) Write(func(fd uintptr) bool) error { return nil }

// An upstream over its limit of connections resets new ones while it responds on others.
func TestAnUpstreamOverItsConnectionLimitHasNotTerminated(t *testing.T) {
	t.Run("it accepts a connection again", func(t *testing.T) {
		l, _ := listenAndReset(t, func(n int) bool { return n < 3 })
		client := exchange.NewClient(dial.New(time.Second).DialContext, nil)
		require.False(t, client.HasTerminated(t.Context(), exchange.Target{Upstream: "a", Run: "a", Address: l.Addr().String()}))
	})
	t.Run("it responds on another connection", func(t *testing.T) {
		l, _ := listenAndReset(t, func(n int) bool { return n > 0 })
		client := exchange.NewClient(dial.New(time.Second).DialContext, protocol{})
		to := exchange.Target{Upstream: "a", Run: "a", Address: l.Addr().String()}
		responded := make(chan error, 1)
		go func() {
			resp, err := client.Send(t.Context(), to, &exchange.Request{ID: "1", Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
			if err == nil {
				err = resp.Body.Close()
			}
			responded <- err
		}()
		time.Sleep(50 * time.Millisecond) // the request is on the first connection
		require.False(t, client.HasTerminated(t.Context(), to))
		require.NoError(t, <-responded)
	})
}

// listenAndReset listens and resets the connections for whose number reset returns true.
// On each of the others it responds once, after 200 ms.
func listenAndReset(t *testing.T, reset func(n int) bool) (net.Listener, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var accepted atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if n := int(accepted.Add(1)) - 1; reset(n) {
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
				continue
			}
			t.Cleanup(func() { _ = c.Close() })
			go func() {
				time.Sleep(200 * time.Millisecond)
				_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nId: 1\r\nGenuine: 1\r\nContent-Length: 0\r\n\r\n"))
			}()
		}
	}()
	return l, &accepted
}

func TestAnAddressThatRefusesConnectionsHasTerminated(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var accepted atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			t.Cleanup(func() { _ = c.Close() })
		}
	}()
	client := exchange.NewClient(dial.New(time.Second).DialContext, nil)
	running := exchange.Target{Upstream: "a", Run: "a", Address: l.Addr().String()}
	require.False(t, client.HasTerminated(t.Context(), running))
	require.NoError(t, l.Close())
	ended := exchange.Target{Upstream: "b", Run: "b", Address: running.Address}
	require.True(t, client.HasTerminated(t.Context(), ended))

	t.Run("a terminated run stays terminated when its address is reused", func(t *testing.T) {
		l, err := net.Listen("tcp", running.Address)
		require.NoError(t, err)
		defer func() { _ = l.Close() }()
		require.True(t, client.HasTerminated(t.Context(), ended), "the run has terminated, whichever process has its address now")
	})
	t.Run("concurrent checks of an upstream that closes all connections", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() {
			for range 3 { // a process that terminates closes its listener last
				c, err := l.Accept()
				if err != nil {
					return
				}
				_ = c.Close()
			}
			_ = l.Close()
		}()
		closing := exchange.Target{Upstream: "c", Run: "c", Address: l.Addr().String()}
		var wait sync.WaitGroup
		for range 5 {
			wait.Go(func() { require.True(t, client.HasTerminated(t.Context(), closing)) })
		}
		wait.Wait()
	})
}
