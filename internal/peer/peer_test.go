package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echoHandler answers with the payload and then a body of the same.
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

func twoMeshes(t *testing.T, h Handler) (*Mesh, string) {
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

func TestStreamsKeepApart(t *testing.T) {
	client, addr := twoMeshes(t, echoHandler{})
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

func TestLeavingCancels(t *testing.T) {
	h := echoHandler{cancelled: make(chan struct{})}
	client, addr := twoMeshes(t, h)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := client.Open(ctx, addr, KindConfirm, []byte("x"))
	require.ErrorIs(t, err, ErrLost)
	<-h.cancelled
}

func TestUnreachableIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	require.NoError(t, l.Close())
	client := NewMesh(Hello{Host: "client"}, tcpTransport{}, echoHandler{})
	defer client.Close()
	_, err = client.Open(context.Background(), addr, KindForward, []byte("x"))
	require.ErrorIs(t, err, ErrNotSent)
}

// script is a peer that answers the first stream with chosen frames.
func script(t *testing.T, frames ...frame) *Stream {
	here, there := net.Pipe()
	go func() {
		reader := bufio.NewReader(there)
		hello, _ := Encode(Hello{Version: Version, Host: "script"})
		go func() { _ = writeRaw(there, &frame{Type: frameHello, Data: hello}) }()
		for {
			f, err := readFrame(reader)
			if err != nil {
				return
			}
			if f.Type != frameOpen {
				continue
			}
			for i := range frames {
				answer := frames[i]
				answer.ID += f.ID
				_ = writeRaw(there, &answer)
			}
			_ = there.Close()
			return
		}
	}()
	c, err := newConn(context.Background(), here, Hello{Host: "client"}, echoHandler{})
	require.NoError(t, err)
	t.Cleanup(c.Close)
	s, err := c.Open(context.Background(), KindForward, []byte("x"))
	if err != nil {
		return nil
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func writeRaw(w io.Writer, f *frame) error {
	buf, err := appendFrame(nil, f)
	if err != nil {
		return err
	}
	_, err = w.Write(buf)
	return err
}

// TestBodiesAreWholeOrBroken plays frames that come late, twice, out of
// order, for other streams or not at all. A body is read whole or fails.
func TestBodiesAreWholeOrBroken(t *testing.T) {
	reply := frame{Type: frameReply, Data: []byte("head")}
	ab, cd := frame{Type: frameBody, Data: []byte("ab")}, frame{Type: frameBody, Data: []byte("cd"), Offset: 2}
	end := frame{Type: frameEnd, Offset: 4}
	other := frame{Type: frameBody, ID: 7, Data: []byte("another's")}
	cases := []struct {
		name   string
		frames []frame
		whole  bool
	}{
		{"in order", []frame{reply, ab, cd, end}, true},
		{"doubled", []frame{reply, reply, ab, ab, cd, cd, end, end}, true},
		{"frames of another stream between", []frame{other, reply, ab, other, cd, other, end}, true},
		{"late after the end", []frame{reply, ab, cd, end, ab, cd}, true},
		{"out of order", []frame{reply, cd, ab, end}, false},
		{"part missing", []frame{reply, ab, end}, false},
		{"end missing", []frame{reply, ab, cd}, false},
		{"end too early", []frame{reply, ab, {Type: frameEnd, Offset: 2}, cd}, true},
		{"told broken", []frame{reply, ab, {Type: frameFail}}, false},
		{"beyond the window", []frame{reply, {Type: frameBody, Data: make([]byte, window+1)}, {Type: frameEnd, Offset: window + 1}}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := script(t, tc.frames...)
			require.NotNil(t, s)
			body, err := io.ReadAll(s)
			if !tc.whole {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, "abcd"[:len(body)], string(body))
			require.Equal(t, "head", string(s.Payload))
		})
	}
}

func TestGarbageClosesOnlyItsConnection(t *testing.T) {
	client, addr := twoMeshes(t, echoHandler{})
	_, err := Call[[]byte](context.Background(), client, addr, KindForward, []byte("before"))
	require.NoError(t, err)
	for name, bad := range map[string][]byte{
		"too large":   binary.BigEndian.AppendUint32(nil, MaxFrame+1),
		"empty":       binary.BigEndian.AppendUint32(nil, 0),
		"not msgpack": append(binary.BigEndian.AppendUint32(nil, 3), 0xc1, 0xc1, 0xc1),
	} {
		c, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		_, err = c.Write(bad)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, c) // ends once the server closes
		if err != nil {
			require.ErrorContains(t, err, "reset", name)
		}
		require.NoError(t, c.Close())
	}
	_, err = Call[[]byte](context.Background(), client, addr, KindForward, []byte("after"))
	require.NoError(t, err)
}

func FuzzDecodeFrame(f *testing.F) {
	for _, seed := range []frame{
		{Type: frameHello, Data: []byte("x")}, {Type: frameOpen, ID: 1, Kind: KindForward, Data: []byte("x")},
		{Type: frameBody, ID: 1, Offset: 5, Data: []byte("x")}, {Type: frameEnd, ID: 1, Offset: 6},
	} {
		buf, err := appendFrame(nil, &seed)
		require.NoError(f, err)
		f.Add(buf[4:])
	}
	f.Add([]byte{0xc1})
	f.Fuzz(func(t *testing.T, body []byte) {
		got, err := decodeFrame(body)
		if err != nil {
			return
		}
		again, err := appendFrame(nil, &got)
		require.NoError(t, err)
		twice, err := decodeFrame(again[4:])
		require.NoError(t, err)
		require.Equal(t, got, twice)
	})
}
