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
)

// pipes is a transport of in-memory pipes to one listener. Closing the listener
// leaves the pipes open.
type pipes struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipes() pipes { return pipes{make(chan net.Conn), make(chan struct{})} }

func (p pipes) Listen(string) (net.Listener, error) { return p, nil }
func (p pipes) Addr() net.Addr                      { return &net.TCPAddr{} }

func (p pipes) Close() error {
	close(p.closed)
	return nil
}

func (p pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p pipes) Dial(context.Context, string) (net.Conn, error) {
	here, there := net.Pipe()
	select {
	case p.conns <- there:
		return here, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// rawPeer is a peer whose frames the test reads and writes itself.
type rawPeer struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func newRawPeer(t *testing.T, c net.Conn) *rawPeer { return &rawPeer{c, t, bufio.NewReader(c)} }

// greet exchanges Hellos.
func (r *rawPeer) greet(h Hello) {
	h.Version = protocolVersion
	payload, err := Encode(h)
	require.NoError(r.t, err)
	require.Equal(r.t, frameHello, r.read().Type)
	r.write(&frame{Type: frameHello, Data: payload})
}

func (r *rawPeer) write(f *frame) { require.NoError(r.t, writeRaw(r.Conn, f)) }

func (r *rawPeer) read() frame {
	f, err := readFrame(r.reader)
	require.NoError(r.t, err)
	return f
}

// newServerWithRawPeer returns a mesh that listens, and a raw peer that has
// dialed the mesh.
func newServerWithRawPeer(t *testing.T, h Handler) (*Mesh, *rawPeer) {
	p := newPipes()
	server := NewMesh(Hello{Host: "server"}, p, h)
	_, err := server.Listen("")
	require.NoError(t, err)
	return server, dialRaw(t, server)
}

func dialRaw(t *testing.T, server *Mesh) *rawPeer {
	c, err := server.transport.Dial(t.Context(), "")
	require.NoError(t, err)
	return newRawPeer(t, c)
}

// A host stops while one stream is open and its peers open more. Streams opened
// before the go-away must finish, and later ones must get ErrNotSent. Without
// the go-away, the later streams ended with the connection and counted as
// possibly run.
func TestStreamsOpenedBeforeAGoAwayEndAndLaterOnesDidNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipes()
		server := NewMesh(Hello{Host: "server"}, p, &waitHandler{delay: 5 * time.Second})
		_, err := server.Listen("")
		require.NoError(t, err)
		client := NewMesh(Hello{Host: "client"}, p, echoHandler{})
		defer client.Close()
		began, done := time.Now(), make(chan error, 1)
		go func() {
			_, err := Call[string](t.Context(), client, "", KindForward, "x")
			done <- err
		}()
		time.Sleep(time.Second)
		drained := make(chan struct{})
		go func() {
			server.GoAway(t.Context())
			close(drained)
		}()
		synctest.Wait()
		_, err = Call[string](t.Context(), client, "", KindForward, "x")
		require.ErrorIs(t, err, ErrNotSent)
		require.Equal(t, time.Second, time.Since(began), "the error is returned immediately")
		_, err = p.Dial(t.Context(), "")
		require.ErrorIs(t, err, net.ErrClosed, "the listener is closed")
		<-drained
		require.InDelta(t, 5*time.Second, time.Since(began), float64(servingPollInterval))
		require.NoError(t, <-done)
		before := time.Now()
		server.Close()
		require.Zero(t, time.Since(before), "the peer has closed its connection")
	})
}

// An open frame that was read counts as served before its handler runs, and the
// next one after the go-away is refused. No stream may fall between the two.
func TestAStreamIsTakenOrRefusedWhereItsFrameIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &waitHandler{delay: time.Minute}
		server, raw := newServerWithRawPeer(t, h)
		raw.greet(Hello{Host: "raw", KeepAlive: true, GoAway: true})
		raw.write(&frame{Type: frameOpen, ID: 7, Kind: KindForward})
		synctest.Wait()
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		server.GoAway(ctx)
		require.True(t, server.isServing())
		require.Equal(t, frame{Type: frameGoAway, ID: 7}, raw.read())
		raw.write(&frame{Type: frameOpen, ID: 8, Kind: KindForward})
		synctest.Wait()
		require.EqualValues(t, 1, h.serving.Load())
		server.GoAway(ctx) // sends no second go-away
		require.NoError(t, raw.Close())
		server.Close()
	})
}

// A stop checked for open streams before the handler of a stream whose frame
// had been read was scheduled. It cut the stream and reported that it had cut
// none.
func TestAStreamCountsBeforeItsHandlerRuns(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	c := &conn{serving: map[uint64]*Responder{}, handler: &waitHandler{delay: time.Hour}}
	for id := range uint64(100) {
		c.serve(ctx, frame{Type: frameOpen, ID: id + 1})
		c.mu.Lock()
		require.Len(t, c.serving, int(id+1))
		c.mu.Unlock()
	}
	require.True(t, c.isServing())
	cancel()
	c.wg.Wait()
	require.False(t, c.isServing())
}

// A peer connects while the host stops, and its handshake is under way when the
// other peers get the go-away. It must get a go-away before any of its frames
// is read.
func TestAConnectionInItsHandshakeAtAGoAwayIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &waitHandler{delay: time.Minute}
		server, raw := newServerWithRawPeer(t, h)
		synctest.Wait()
		server.GoAway(t.Context())
		raw.greet(Hello{Host: "raw", KeepAlive: true, GoAway: true})
		raw.write(&frame{Type: frameOpen, ID: 1, Kind: KindForward})
		require.Equal(t, frame{Type: frameGoAway}, raw.read())
		synctest.Wait()
		require.Zero(t, h.serving.Load())
		require.NoError(t, raw.Close())
		server.Close()
	})
}

// During a rolling update, a peer of the previous version does not know the
// go-away frame. Receiving it would break the connection with all its open
// streams, so the peer must be served as before.
func TestAPeerOfAnOlderVersionIsServedAfterAGoAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, raw := newServerWithRawPeer(t, &waitHandler{delay: time.Second})
		raw.greet(Hello{Host: "old", KeepAlive: true})
		raw.write(&frame{Type: frameOpen, ID: 1, Kind: KindForward})
		synctest.Wait()
		drained := make(chan struct{})
		go func() {
			server.GoAway(t.Context())
			close(drained)
		}()
		synctest.Wait()
		raw.write(&frame{Type: frameOpen, ID: 2, Kind: KindForward})
		var got []frameType
		for range 4 {
			got = append(got, raw.read().Type)
		}
		require.ElementsMatch(t, []frameType{frameReply, frameReply, frameEnd, frameEnd}, got)
		<-drained
		server.Close()
	})
}

// olderHello is the Hello of the previous version.
type olderHello struct {
	Version   string `msgpack:"v"`
	Host      string `msgpack:"h"`
	KeepAlive bool   `msgpack:"k,omitempty"`
}

func TestAnOlderVersionReadsTheHello(t *testing.T) {
	payload, err := Encode(Hello{Version: protocolVersion, Host: "new", KeepAlive: true, GoAway: true})
	require.NoError(t, err)
	got, err := Decode[olderHello](payload)
	require.NoError(t, err)
	require.Equal(t, olderHello{protocolVersion, "new", true}, got)
}

// The opener of a stream that the peer did not accept gets ErrNotSent
// immediately. The connection continues to serve the accepted stream and then
// closes.
func TestAGoAwayKeepsTheStreamsThatThePeerAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here, there := net.Pipe()
		raw := newRawPeer(t, there)
		go raw.greet(Hello{Host: "raw", KeepAlive: true, GoAway: true})
		c, err := newConn(t.Context(), here, Hello{Host: "client"}, echoHandler{}, dialed)
		require.NoError(t, err)
		defer c.close()
		results := []chan error{make(chan error, 1), make(chan error, 1)}
		for _, result := range results {
			go func() {
				s, err := c.open(t.Context(), KindForward, nil)
				if err == nil {
					_, err = io.Copy(io.Discard, s) // up to its end, so that Close sends no cancel
					_ = s.Close()
				}
				result <- err
			}()
			require.Equal(t, frameOpen, raw.read().Type)
		}
		raw.write(&frame{Type: frameGoAway, ID: 1})
		require.ErrorIs(t, <-results[1], ErrNotSent)
		require.False(t, c.usable())
		_, err = c.open(t.Context(), KindForward, nil)
		require.ErrorIs(t, err, ErrNotSent)
		raw.write(&frame{Type: frameReply, ID: 1})
		raw.write(&frame{Type: frameEnd, ID: 1})
		require.NoError(t, <-results[0])
		<-c.closed
	})
}

// A peer reads slowly. Close must not close the connection before the peer has
// read the go-away that refuses its stream.
func TestCloseWaitsUntilAPeerHasReadTheGoAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, raw := newServerWithRawPeer(t, &waitHandler{})
		raw.greet(Hello{Host: "slow", KeepAlive: true, GoAway: true})
		synctest.Wait()
		server.GoAway(t.Context())
		closed := make(chan struct{})
		go func() {
			server.Close()
			close(closed)
		}()
		time.Sleep(disconnectTimeout / 2)
		require.Equal(t, frameGoAway, raw.read().Type)
		require.NoError(t, raw.Close())
		<-closed
	})
}

// Dead peers must not delay a stop for long, and streams that outlast the drain
// timeout are cut.
func TestACloseAfterAGoAwayIsBounded(t *testing.T) {
	for name, delay := range map[string]time.Duration{"nothing under way": 0, "a stream under way": time.Hour} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server, raw := newServerWithRawPeer(t, &waitHandler{delay: delay})
				raw.greet(Hello{Host: "dead", KeepAlive: true, GoAway: true})
				dialRaw(t, server).greet(Hello{Host: "dead too", KeepAlive: true, GoAway: true})
				if delay > 0 {
					raw.write(&frame{Type: frameOpen, ID: 1, Kind: KindForward})
				}
				ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
				defer cancel()
				synctest.Wait()
				began := time.Now()
				server.GoAway(ctx)
				server.Close()
				require.LessOrEqual(t, time.Since(began), disconnectTimeout+100*time.Millisecond)
			})
		})
	}
}
