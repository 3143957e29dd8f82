package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/dial/dialtest"
	"cairndock/internal/pause"
)

// stuckPeer is the other end of a connection to a peer whose process is stuck:
// it says hello, if it still did, and reads nothing after that.
func stuckPeer(c net.Conn, hello Hello) {
	hello.Version = protocolVersion
	payload, _ := Encode(hello) // a struct of strings can be encoded
	go func() { _ = writeRaw(c, &frame{Type: frameHello, Data: payload}) }()
	_, _ = readFrame(bufio.NewReaderSize(c, 16)) // the other's hello
}

// A peer of an older version sends no pings and answers none.
func TestAPeerWithoutKeepAliveIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here, there := net.Pipe()
		defer func() { require.NoError(t, there.Close()) }()
		go func() {
			stuckPeer(there, Hello{Host: "old"})
			_, _ = io.Copy(io.Discard, there) // reads on, and answers nothing
		}()
		c, err := newConn(t.Context(), here, Hello{Host: "client"}, echoHandler{}, dialed)
		require.NoError(t, err)
		defer c.close()
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err = c.open(ctx, KindForward, nil)
		require.ErrorIs(t, err, ErrLost)
		require.Equal(t, time.Minute, time.Since(began))
	})
}

// A peer that is stuck takes no bytes either. A heartbeat of 0.7 s was held for
// 10 s by the write of its first frame, before its own time-out was looked at,
// and the connection was dropped only then.
func TestAPeerThatTakesNoBytesHoldsARequestBriefly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here, there := net.Pipe()
		defer func() { require.NoError(t, there.Close()) }()
		go stuckPeer(there, Hello{Host: "stuck", KeepAlive: true})
		c, err := newConn(t.Context(), here, Hello{Host: "client"}, echoHandler{}, dialed)
		require.NoError(t, err)
		defer c.close()
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
		defer cancel()
		_, err = c.open(ctx, KindHeartbeat, nil)
		require.ErrorIs(t, err, ErrLost)
		t.Logf("held for %v", time.Since(began))
		require.LessOrEqual(t, time.Since(began), silenceTimeout)
	})
}

// Dialing takes 100 ms here. A request that had less time left failed, and each
// other request to the peer failed with it for the next half second.
func TestARequestWithLittleTimeLeftDoesNotBarItsPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := dialtest.New()
		server := NewMesh(Hello{Host: "server"}, memoryTransport{n}, &waitHandler{})
		defer server.Close()
		_, err := server.Listen("")
		require.NoError(t, err)
		client := NewMesh(Hello{Host: "client"}, slowTransport{memoryTransport{n}}, echoHandler{})
		defer client.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err = Call[string](ctx, client, "", KindForward, "x")
		require.ErrorIs(t, err, ErrNotSent)
		_, err = Call[string](t.Context(), client, "", KindForward, "x")
		require.NoError(t, err)
	})
}

// slowTransport takes 100 ms to dial.
type slowTransport struct{ memoryTransport }

func (t slowTransport) Dial(ctx context.Context, addr string) (net.Conn, error) {
	if !pause.For(ctx, 100*time.Millisecond) {
		return nil, ctx.Err()
	}
	return t.memoryTransport.Dial(ctx, addr)
}

// While one request's frame is stuck, the others waited for it whatever their own
// time-outs were.
func TestARequestBehindAStuckOneEndsInItsOwnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here, there := net.Pipe()
		defer func() { require.NoError(t, there.Close()) }()
		go stuckPeer(there, Hello{Host: "stuck", KeepAlive: true})
		c, err := newConn(t.Context(), here, Hello{Host: "client"}, echoHandler{}, dialed)
		require.NoError(t, err)
		defer c.close()
		go func() { _, _ = c.open(t.Context(), KindForward, nil) }() // fails
		synctest.Wait()
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
		defer cancel()
		_, err = c.open(ctx, KindHeartbeat, nil)
		require.ErrorIs(t, err, ErrNotSent)
		require.Equal(t, 700*time.Millisecond, time.Since(began))
	})
}

// pipeTransport dials pipes, of which a function serves the other ends.
type pipeTransport struct {
	memoryTransport
	serve func(net.Conn)
}

func (t pipeTransport) Dial(context.Context, string) (net.Conn, error) {
	here, there := net.Pipe()
	go t.serve(there)
	return here, nil
}

// A connection that a write had failed on was read for another second, for
// responses under way. For that time each new request to the peer failed, and
// none dialed.
func TestAConnectionThatCannotBeWrittenToIsReplacedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials := 0
		client := NewMesh(Hello{Host: "client"}, pipeTransport{serve: func(c net.Conn) {
			dials++
			stuckPeer(c, Hello{Host: "stuck"})
		}}, echoHandler{})
		defer client.Close()
		for range 2 {
			ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
			_, err := client.Open(ctx, "", KindHeartbeat, nil)
			cancel()
			require.ErrorIs(t, err, ErrLost)
		}
		require.Equal(t, 2, dials)
		time.Sleep(readOutTime) // until the first one's read loop has ended
	})
}

// A slow link takes long for a large frame, and the connection works all the
// same. The bound was for the whole frame, and broke it after 10 s.
func TestALargeFrameOnASlowLinkIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here, there := net.Pipe()
		defer func() { require.NoError(t, there.Close()) }()
		go func() {
			stuckPeer(there, Hello{Host: "slow", KeepAlive: true})
			for part := make([]byte, maxWrite); ; time.Sleep(time.Second) {
				if _, err := io.ReadFull(there, part); err != nil {
					return
				}
			}
		}()
		c, err := newConn(t.Context(), here, Hello{Host: "client"}, echoHandler{}, dialed)
		require.NoError(t, err)
		defer c.close()
		s, err := c.start(t.Context(), KindForward, make([]byte, maxFrame-64))
		require.NoError(t, err)
		require.NoError(t, s.Close())
	})
}

// The kernel of a peer that is stuck accepts connections, and no hello comes. A
// request waited 3 s for it, whatever its own time-out was.
func TestAHandshakeEndsWithTheRequestThatWaitsForIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := dialtest.New()
		defer func() { require.NoError(t, n.Close()) }()
		client := NewMesh(Hello{Host: "client"}, memoryTransport{n}, echoHandler{})
		defer client.Close()
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
		defer cancel()
		_, err := client.Open(ctx, "", KindHeartbeat, nil)
		require.ErrorIs(t, err, ErrNotSent)
		require.Equal(t, 700*time.Millisecond, time.Since(began))
	})
}
