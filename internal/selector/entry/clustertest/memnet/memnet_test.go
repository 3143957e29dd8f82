package memnet

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const delay = 10 * time.Millisecond

func newNetwork() *Network {
	return &Network{Delay: func(string, string) time.Duration { return delay }}
}

// connect returns both ends of a connection from a to b.
func connect(t *testing.T, n *Network) (dialer, acceptor net.Conn) {
	l, err := End{n, "b"}.Listen("b:1")
	require.NoError(t, err)
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			accepted <- c
		}
	}()
	dialer, err = End{n, "a"}.Dial(context.Background(), "b:1")
	require.NoError(t, err)
	acceptor = <-accepted
	t.Cleanup(func() { _, _ = dialer.Close(), acceptor.Close() })
	return dialer, acceptor
}

// Writes must be delivered in order after the delay of the link. A cut link must
// delay them until it is healed.
func TestWritesArriveInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		dialer, acceptor := connect(t, n)
		read := func() string {
			buf := make([]byte, 2)
			_, err := io.ReadFull(acceptor, buf)
			require.NoError(t, err)
			return string(buf)
		}
		began := time.Now()
		_, err := dialer.Write([]byte("a"))
		require.NoError(t, err)
		_, err = dialer.Write([]byte("b"))
		require.NoError(t, err)
		require.Equal(t, "ab", read())
		require.Equal(t, delay, time.Since(began))

		n.Cut(func(a, b string) bool { return a == "b" && b == "a" })
		_, err = dialer.Write([]byte("cd"))
		require.NoError(t, err)
		time.AfterFunc(time.Minute, func() { n.Cut(nil) })
		began = time.Now()
		require.Equal(t, "cd", read())
		require.Equal(t, time.Minute, time.Since(began))
		require.NoError(t, dialer.Close())
		_, err = acceptor.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
	})
}

// Dial must block on a cut link until ctx ends, and must be refused at an address
// without a listener.
func TestDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		_, err := End{n, "a"}.Dial(context.Background(), "b:1")
		require.ErrorIs(t, err, errRefused)
		n.Cut(func(a, b string) bool { return a == "a" && b == "b" })
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		began := time.Now()
		_, err = End{n, "a"}.Dial(ctx, "b:1")
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Equal(t, time.Second, time.Since(began))
	})
}

// An end that closed its sending side must still be able to read. After a write to a
// closed end, a later write must fail.
func TestEndsCloseIndependently(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		dialer, acceptor := connect(t, n)
		require.NoError(t, dialer.(*conn).CloseWrite())
		_, err := acceptor.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		_, err = acceptor.Write([]byte("a"))
		require.NoError(t, err)
		_, err = io.ReadFull(dialer, make([]byte, 1))
		require.NoError(t, err)

		require.NoError(t, dialer.Close())
		_, err = acceptor.Write([]byte("b"))
		require.NoError(t, err, "the closed end is not detected yet")
		time.Sleep(delay)
		synctest.Wait()
		_, err = acceptor.Write([]byte("c"))
		require.ErrorIs(t, err, net.ErrClosed)
	})
}
