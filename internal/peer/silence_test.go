package peer

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/dial/dialtest"
)

// memoryTransport is a Transport on an in-memory network.
type memoryTransport struct{ *dialtest.Network }

func (t memoryTransport) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return t.DialContext(ctx, "tcp", addr)
}

func (t memoryTransport) Listen(string) (net.Listener, error) { return t.Network, nil }

// memoryMeshes returns an in-memory network and a client mesh. A server mesh
// with the handler listens on the network.
func memoryMeshes(t *testing.T, h Handler) (*dialtest.Network, *Mesh) {
	n := dialtest.New()
	server := NewMesh(Hello{Host: "server"}, memoryTransport{n}, h)
	_, err := server.Listen("")
	require.NoError(t, err)
	client := NewMesh(Hello{Host: "client"}, memoryTransport{n}, echoHandler{})
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return n, client
}

// waitHandler responds after a delay and counts the streams being served.
type waitHandler struct {
	delay   time.Duration
	serving atomic.Int64
}

func (h *waitHandler) ServePeer(ctx context.Context, _ Hello, _ Kind, _ []byte, w *Responder) {
	h.serving.Add(1)
	defer h.serving.Add(-1)
	select {
	case <-ctx.Done():
	case <-time.After(h.delay):
		_ = w.Send("done") // the peer detects a lost response
	}
}

// Open connections go silent permanently while new ones work. Only a failed
// heartbeat dropped a connection, and a host that receives the heartbeats of
// its peer sends none. Its polls of that relay therefore timed out on one
// silent connection indefinitely.
func TestASilentConnectionToAPeerIsReplaced(t *testing.T) {
	for _, timeout := range []time.Duration{300 * time.Millisecond, 700 * time.Millisecond, 1400 * time.Millisecond} {
		t.Run(timeout.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, client := memoryMeshes(t, &waitHandler{})
				poll := func() error {
					ctx, cancel := context.WithTimeout(t.Context(), timeout)
					defer cancel()
					_, err := Call[string](ctx, client, "", KindChanges, "poll")
					return err
				}
				require.NoError(t, poll())
				n.Silence()
				began, lost := time.Now(), 0
				for lost < 100 && poll() != nil {
					lost++
					time.Sleep(100 * time.Millisecond)
				}
				dialed, _ := n.Silent()
				t.Logf("%d polls lost, %v until a response, %d silent connections left", lost, time.Since(began), dialed)
				// A poll that is waiting at that time ends at its own timeout.
				require.LessOrEqual(t, time.Since(began), silenceTimeout+timeout)
				require.Zero(t, dialed)
			})
		})
	}
}

// A request without a deadline used to wait indefinitely for the response or
// for the rest of a body.
func TestASilentStreamEnds(t *testing.T) {
	for name, h := range map[string]Handler{"response": &waitHandler{delay: time.Hour}, "body": overfillHandler{second: make(chan error, 1)}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, client := memoryMeshes(t, h)
				ended := make(chan error, 1)
				go func() {
					s, err := client.Open(context.Background(), "", KindForward, nil)
					if err == nil {
						time.Sleep(time.Second) // the second window waits for credit
						_, err = io.Copy(io.Discard, s)
						_ = s.Close()
					}
					ended <- err
				}()
				time.Sleep(500 * time.Millisecond)
				n.Silence()
				began := time.Now()
				select {
				case err := <-ended:
					require.ErrorIs(t, err, ErrLost)
					require.LessOrEqual(t, time.Since(began), (closeThreshold+2)*pingInterval)
				case <-time.After(time.Minute):
					t.Error("the stream never ends")
				}
			})
		})
	}
}

// The end that serves a stream runs a handler for it. Handler and connection
// used to remain indefinitely when the peer disappeared without closing the
// connection.
func TestAStreamOfASilentPeerIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &waitHandler{delay: time.Hour}
		n, client := memoryMeshes(t, h)
		go func() { _, _ = Call[string](t.Context(), client, "", KindForward, "x") }() // returns an error
		time.Sleep(time.Second)
		require.EqualValues(t, 1, h.serving.Load())
		n.Silence()
		time.Sleep(servingTimeout + acceptedCheckInterval)
		synctest.Wait()
		_, accepted := n.Silent()
		require.Zero(t, h.serving.Load())
		require.Zero(t, accepted)
	})
}

func TestASilentConnectionWithoutStreamsIsClosedAtBothEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, client := memoryMeshes(t, &waitHandler{})
		_, err := Call[string](t.Context(), client, "", KindChanges, "x")
		require.NoError(t, err)
		time.Sleep(10 * time.Minute) // the connection is kept while the peer responds
		require.Equal(t, 1, n.Dials())
		n.Silence()
		dialed, accepted := n.Silent()
		require.Equal(t, 2, dialed+accepted)
		time.Sleep(idlePingInterval + silenceTimeout)
		synctest.Wait()
		dialed, _ = n.Silent()
		require.Zero(t, dialed)
		time.Sleep(acceptedTimeout + acceptedCheckInterval - idlePingInterval - silenceTimeout)
		synctest.Wait()
		_, accepted = n.Silent()
		require.Zero(t, accepted)
	})
}

// A peer that takes long to respond, or a reader that reads the body slowly,
// must not count as silent.
func TestASlowPeerKeepsItsConnection(t *testing.T) {
	t.Run("response", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			n, client := memoryMeshes(t, &waitHandler{delay: time.Minute})
			_, err := Call[string](t.Context(), client, "", KindForward, "x")
			require.NoError(t, err)
			require.Equal(t, 1, n.Dials())
		})
	})
	t.Run("body", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			h := overfillHandler{second: make(chan error, 1)}
			n, client := memoryMeshes(t, h)
			s, err := client.Open(t.Context(), "", KindForward, nil)
			require.NoError(t, err)
			time.Sleep(time.Minute)
			_, err = io.ReadFull(s, make([]byte, window))
			require.NoError(t, err)
			require.NoError(t, <-h.second)
			require.NoError(t, s.Close())
			require.Equal(t, 1, n.Dials())
		})
	})
}
