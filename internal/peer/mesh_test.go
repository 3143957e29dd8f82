package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echoHandler responds with the payload, followed by a body with the same
// bytes. It blocks on a KindConfirm until the stream is cancelled.
type echoHandler struct{ cancelled chan struct{} }

func (h echoHandler) ServePeer(ctx context.Context, _ Hello, kind Kind, payload []byte, w *Responder) {
	if kind == KindConfirm {
		<-ctx.Done()
		close(h.cancelled)
		return
	}
	_ = w.Reply(payload)
	_, _ = w.Write(payload)
	_ = w.End()
}

type tcpTransport struct{}

func (tcpTransport) Dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

func (tcpTransport) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// connectedMeshes returns a client mesh and the address of a server mesh with a
// handler.
func connectedMeshes(t *testing.T, h Handler) (*Mesh, string) {
	server := NewMesh(Hello{Host: "server"}, tcpTransport{}, h)
	addr, err := server.Listen("127.0.0.1:0")
	require.NoError(t, err)
	client := NewMesh(Hello{Host: "client"}, tcpTransport{}, echoHandler{})
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client, addr
}

func TestConcurrentStreamsGetTheirOwnResponses(t *testing.T) {
	client, addr := connectedMeshes(t, echoHandler{})
	results := make(chan error, 50)
	for i := range 50 {
		go func() {
			want := bytes.Repeat([]byte{byte(i)}, 10_000+i)
			s, err := client.Open(context.Background(), addr, KindForward, want)
			if err != nil {
				results <- err
				return
			}
			defer s.Close()
			body, err := io.ReadAll(s)
			if err == nil && (!bytes.Equal(s.Payload, want) || !bytes.Equal(body, want)) {
				err = io.ErrNoProgress
			}
			results <- err
		}()
	}
	for range 50 {
		require.NoError(t, <-results)
	}
}

func TestTheHandlerIsCanceledWhenTheOpenerTimesOut(t *testing.T) {
	h := echoHandler{cancelled: make(chan struct{})}
	client, addr := connectedMeshes(t, h)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := client.Open(ctx, addr, KindConfirm, []byte("x"))
	require.ErrorIs(t, err, ErrLost)
	<-h.cancelled
}

// overfillHandler writes two windows of body, the second of which must wait for
// credit, and sends the error of the second write to second.
type overfillHandler struct{ second chan error }

func (h overfillHandler) ServePeer(_ context.Context, _ Hello, _ Kind, _ []byte, w *Responder) {
	_ = w.Reply(nil)
	_, _ = w.Write(make([]byte, window))
	_, err := w.Write(make([]byte, window))
	h.second <- err
}

func TestAWriteThatWaitsForCreditEndsWhenTheOpenerCloses(t *testing.T) {
	h := overfillHandler{second: make(chan error, 1)}
	client, addr := connectedMeshes(t, h)
	s, err := client.Open(context.Background(), addr, KindForward, nil)
	require.NoError(t, err)
	_, err = io.ReadFull(s, make([]byte, 1)) // the first window is being received
	require.NoError(t, err)
	select {
	case err := <-h.second:
		t.Fatalf("the second window did not wait: %v", err)
	case <-time.After(20 * time.Millisecond):
	}
	require.NoError(t, s.Close())
	require.ErrorIs(t, <-h.second, context.Canceled)
}

func TestAnUnreachablePeerIsNotSentTo(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	require.NoError(t, l.Close())
	client := NewMesh(Hello{Host: "client"}, tcpTransport{}, echoHandler{})
	defer client.Close()
	_, err = client.Open(context.Background(), addr, KindForward, []byte("x"))
	require.ErrorIs(t, err, ErrNotSent)
}

// Two watchers of a gateway query the same unreachable peer concurrently and
// wrap the errors that they get. When both got the same error value, the race
// detector terminated the host, because wrapping an error of package eris
// modifies it.
func TestCallersOfAPeerThatCantBeReachedGetErrorsOfTheirOwn(t *testing.T) {
	client, _ := connectedMeshes(t, echoHandler{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	require.NoError(t, l.Close())
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for range 20 {
				_, err := client.Open(context.Background(), addr, KindForward, nil)
				assert.ErrorIs(t, eris.Wrap(err, "ask a relay"), ErrNotSent)
			}
		})
	}
	callers.Wait()
}
