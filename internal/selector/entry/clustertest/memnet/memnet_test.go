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

// connect gives both ends of a connection from a to b.
func connect(t *testing.T, n *Network) (here, there net.Conn) {
	l, err := n.End("b").Listen("b:1")
	require.NoError(t, err)
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			accepted <- c
		}
	}()
	here, err = n.End("a").Dial(context.Background(), "b:1")
	require.NoError(t, err)
	return here, <-accepted
}

// TestWritesArriveInOrder: after the delay of the link, and a cut link delays
// them until it is healed.
func TestWritesArriveInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(func(string, string) time.Duration { return delay })
		here, there := connect(t, n)
		read := func() string {
			buf := make([]byte, 2)
			_, err := io.ReadFull(there, buf)
			require.NoError(t, err)
			return string(buf)
		}
		began := time.Now()
		_, err := here.Write([]byte("a"))
		require.NoError(t, err)
		_, err = here.Write([]byte("b"))
		require.NoError(t, err)
		require.Equal(t, "ab", read())
		require.Equal(t, delay, time.Since(began))

		n.Cut("b", "a")
		_, err = here.Write([]byte("cd"))
		require.NoError(t, err)
		time.AfterFunc(time.Minute, func() { n.Heal("a", "b") })
		began = time.Now()
		require.Equal(t, "cd", read())
		require.Equal(t, time.Minute, time.Since(began))
		require.NoError(t, here.Close())
		_, err = there.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
	})
}

// TestDial: hangs on a cut link until ctx ends, and is refused where nobody
// listens.
func TestDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(func(string, string) time.Duration { return delay })
		_, err := n.End("a").Dial(context.Background(), "b:1")
		require.ErrorIs(t, err, errRefused)
		n.Cut("a", "b")
		began := time.Now()
		_, err = n.End("a").DialUpstream(context.Background(), "tcp", "b:1")
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Equal(t, dialTimeout, time.Since(began))
	})
}
