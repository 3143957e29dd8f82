package upstream

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/slot"
	"cairndock/internal/verdict"
)

func TestAResponseWhoseHeadBreaksOffIsNoResponse(t *testing.T) {
	heads := []string{
		"HTTP/1.1 200 OK\r\nX: 1\r\nContent-Length: 5\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\nX: 1\nContent-Length: 5\n\n",
	}
	for _, head := range heads {
		for n := range head {
			for _, reset := range []bool{false, true} {
				_, err := New(nil, nil).Send(t.Context(), Target{Name: "up", Zone: "z", Addr: startPartial(t, head[:n], reset)}, get(10*time.Second), func(slot.Outcome, time.Duration) {})
				require.Error(t, err, "%q, reset %v", head[:n], reset)
				require.Equal(t, verdict.MayHaveRun, verdict.From(err).Verdict, "%q, reset %v", head[:n], reset)
			}
		}
	}
}

// startPartial starts an upstream that sends a text and ends the connection. It returns its
// address.
func startPartial(t *testing.T, text string, reset bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = c.Read(make([]byte, 4<<10))
		_, _ = io.WriteString(c, text)
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	}()
	return l.Addr().String()
}
