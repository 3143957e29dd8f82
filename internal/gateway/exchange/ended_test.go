package exchange_test

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/dial"
	"cairndock/internal/gateway/exchange"
)

func TestOnlyAnAddressThatRefusesConnectionsHasEnded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var made atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			made.Add(1)
			t.Cleanup(func() { _ = c.Close() })
		}
	}()
	client := exchange.NewClient(dial.New(time.Second).DialContext, nil)
	running := exchange.Target{Upstream: "a", Run: "a", Address: l.Addr().String()}
	require.False(t, client.HasEnded(t.Context(), running))
	require.NoError(t, l.Close())
	ended := exchange.Target{Upstream: "b", Run: "b", Address: running.Address}
	require.True(t, client.HasEnded(t.Context(), ended))

	t.Run("and is asked once for all that ask", func(t *testing.T) {
		l, err := net.Listen("tcp", running.Address)
		require.NoError(t, err)
		defer func() { _ = l.Close() }()
		require.True(t, client.HasEnded(t.Context(), ended), "the run has ended, whoever has its address now")
	})
	t.Run("as is one that closes all connections", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() {
			for range 3 { // a process that ends closes its listener last
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
			wait.Go(func() { require.True(t, client.HasEnded(t.Context(), closing)) })
		}
		wait.Wait()
	})
}
