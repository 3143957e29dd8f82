package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// scriptedStream opens a stream to a peer that responds with the given frames.
func scriptedStream(t *testing.T, frames ...frame) *Stream {
	here, there := net.Pipe()
	go func() {
		reader := bufio.NewReader(there)
		hello, _ := Encode(Hello{Version: protocolVersion, Host: "script"})
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
				response := frames[i]
				response.ID += f.ID
				_ = writeRaw(there, &response)
			}
			_ = there.Close()
			return
		}
	}()
	c, err := newConn(context.Background(), here, Hello{Host: "client"}, echoHandler{}, dialed)
	require.NoError(t, err)
	t.Cleanup(c.close)
	s, err := c.open(context.Background(), KindForward, []byte("x"))
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

// Frames may be late, repeated, out of order, of other streams or missing. A
// body must be read completely or end with an error.
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
		{"repeated", []frame{reply, reply, ab, ab, cd, cd, end, end}, true},
		{"frames of another stream between", []frame{other, reply, ab, other, cd, other, end}, true},
		{"late after the end", []frame{reply, ab, cd, end, ab, cd}, true},
		{"out of order", []frame{reply, cd, ab, end}, false},
		{"part missing", []frame{reply, ab, end}, false},
		{"end missing", []frame{reply, ab, cd}, false},
		{"end too early", []frame{reply, ab, {Type: frameEnd, Offset: 2}, cd}, true},
		{"failed by the peer", []frame{reply, ab, {Type: frameFail}}, false},
		{"beyond the window", []frame{reply, {Type: frameBody, Data: make([]byte, window+1)}, {Type: frameEnd, Offset: window + 1}}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := scriptedStream(t, tc.frames...)
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
