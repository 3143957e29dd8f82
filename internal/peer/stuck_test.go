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

// stuckPeer is the other end of a connection to a peer whose process is stuck.
// It sends a Hello, reads the Hello of the other end and then reads nothing
// more.
func stuckPeer(c net.Conn, hello Hello) {
	hello.Version = protocolVersion
	payload, _ := Encode(hello) // a struct of strings can be encoded
	go func() { _ = writeRaw(c, &frame{Type: frameHello, Data: payload}) }()
	_, _ = readFrame(bufio.NewReaderSize(c, 16)) // the Hello of the other end
}

// A peer of an older version neither sends pings nor responds to them, so the
// connection must not be closed for silence.
func TestAPeerWithoutKeepAliveIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here, there := net.Pipe()
		defer func() { require.NoError(t, there.Close()) }()
		go func() {
			stuckPeer(there, Hello{Host: "old"})
			_, _ = io.Copy(io.Discard, there) // keeps reading without a response
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

// A stuck peer does not read any bytes. The write of the first frame used to
// block a heartbeat with a timeout of 0.7 s for 10 s, and only then was the
// timeout checked and the connection dropped.
func TestAPeerThatReadsNothingDoesNotBlockARequestPastItsTimeout(t *testing.T) {
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
		t.Logf("blocked for %v", time.Since(began))
		require.LessOrEqual(t, time.Since(began), silenceTimeout)
	})
}

// Dialing takes 100 ms in this test. A request with less time left failed, and
// for the next half second every other request to the peer failed with it.
func TestADialThatEndsWithItsRequestCausesNoRedialDelay(t *testing.T) {
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

// While the frame of one request was stuck, other requests waited for it past
// their own timeouts.
func TestARequestBehindAStuckWriteEndsAtItsOwnTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here, there := net.Pipe()
		defer func() { require.NoError(t, there.Close()) }()
		go stuckPeer(there, Hello{Host: "stuck", KeepAlive: true})
		c, err := newConn(t.Context(), here, Hello{Host: "client"}, echoHandler{}, dialed)
		require.NoError(t, err)
		defer c.close()
		go func() { _, _ = c.open(t.Context(), KindForward, nil) }() // returns an error
		synctest.Wait()
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
		defer cancel()
		_, err = c.open(ctx, KindHeartbeat, nil)
		require.ErrorIs(t, err, ErrNotSent)
		require.Equal(t, 700*time.Millisecond, time.Since(began))
	})
}

// pipeTransport dials in-memory pipes and passes their other ends to serve.
type pipeTransport struct {
	memoryTransport
	serve func(net.Conn)
}

func (t pipeTransport) Dial(context.Context, string) (net.Conn, error) {
	here, there := net.Pipe()
	go t.serve(there)
	return here, nil
}

// After a failed write, the connection is read for another second to receive
// open responses. During this second, new requests to the peer used to fail
// without a new dial.
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
		time.Sleep(drainReadTimeout) // until the read loop of the first connection has ended
	})
}

// A slow link takes long to transfer a large frame, although the connection
// works. The write timeout covered the whole frame and broke the connection
// after 10 s.
func TestALargeFrameOnASlowLinkIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here, there := net.Pipe()
		defer func() { require.NoError(t, there.Close()) }()
		go func() {
			stuckPeer(there, Hello{Host: "slow", KeepAlive: true})
			for chunk := make([]byte, maxWriteSize); ; time.Sleep(time.Second) {
				if _, err := io.ReadFull(there, chunk); err != nil {
					return
				}
			}
		}()
		c, err := newConn(t.Context(), here, Hello{Host: "client"}, echoHandler{}, dialed)
		require.NoError(t, err)
		defer c.close()
		s, err := c.startStream(t.Context(), KindForward, make([]byte, maxFrame-64))
		require.NoError(t, err)
		require.NoError(t, s.Close())
	})
}

// The kernel of a stuck peer accepts connections, but no Hello is sent. A
// request waited 3 s for the handshake, regardless of its own timeout.
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
