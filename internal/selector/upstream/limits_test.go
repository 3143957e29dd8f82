package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/call"
	"cairndock/internal/selector/slot"
	"cairndock/internal/verdict"
)

// countingConn counts the bytes that are read from a connection.
type countingConn struct {
	*net.TCPConn
	read *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// startEndless starts an upstream that responds with a text and then with another one until the
// connection is closed. It returns a client and a counter of the bytes that it reads.
func startEndless(t *testing.T, start, repeated string) (*Client, Target, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_, _ = c.Read(make([]byte, 4<<10))
				_, err := io.WriteString(c, start)
				for block := strings.Repeat(repeated, 16<<10); err == nil; {
					_, err = io.WriteString(c, block)
				}
			}()
		}
	}()
	read := &atomic.Int64{}
	client := New(func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return countingConn{c.(*net.TCPConn), read}, nil
	}, nil)
	return client, Target{Name: "up", Zone: "z", Addr: l.Addr().String()}, read
}

// Upstreams that send bytes without end were read until cancelGrace after the deadline: their
// bodies, and any response after its request was given up.
func TestResponsesWithoutEndAreAbortedAtTheLimit(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct {
		start, repeated string
		limit           int64 // the limit of the kind of response, in bytes
		header          bool  // whether the failure is known before the body
	}{
		"status line":  {"HTTP/1.1 200 ", "x", maxHeaderBytes, true},
		"one field":    {head + "A: ", "x", maxHeaderBytes, true},
		"fields":       {head, "Name: value\r\n", maxHeaderBytes, true},
		"interim":      {"", "HTTP/1.1 103 Early Hints\r\n\r\n", maxHeaderBytes, true},
		"not HTTP":     {"", "\x16\x03\x01", maxHeaderBytes, true},
		"length":       {head + "Content-Length: 1099511627776\r\n\r\n", "x", maxHeaderBytes, true},
		"chunks":       {head + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n", maxBodyBytes, false},
		"until closed": {head + "\r\n", "x", maxBodyBytes, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client, target, read := startEndless(t, c.start, c.repeated)
			free := make(chan slot.Outcome, 1)
			began := time.Now()
			timeout := 2 * time.Second
			if !c.header {
				timeout = 20 * time.Second // the limit is reached after 64 MB
			}
			request := get(timeout)
			resp, err := client.Send(t.Context(), target, request, func(o slot.Outcome, _ time.Duration) { free <- o })
			if c.header {
				require.Equal(t, verdict.MayHaveRun, verdict.From(err).Verdict)
				require.Equal(t, verdict.UpstreamFailed, verdict.From(err).Reason)
				require.Less(t, time.Since(began), timeout)
				require.Equal(t, slot.Failure, <-free)
				require.GreaterOrEqual(t, time.Since(began), timeout, "the upstream may be busy until the deadline")
			} else {
				require.NoError(t, err)
				n, err := io.Copy(io.Discard, resp.Body)
				require.ErrorContains(t, err, "z/up exceeds the limit of 67108864 bytes")
				require.LessOrEqual(t, n, int64(maxBodyBytes))
				require.NoError(t, resp.Body.Close())
				require.Less(t, time.Since(began), timeout)
			}
			require.LessOrEqual(t, read.Load(), c.limit*11/10+maxLingerBytes+64<<10)
		})
	}
}

// The body of a response to a probe is read up to its limit.
func TestAProbeWithoutEndIsAborted(t *testing.T) {
	client, target, read := startEndless(t, "HTTP/1.1 200 OK\r\n"+call.HeaderLoad+": 0.5\r\n\r\n", "x")
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	status, err := client.Probe(ctx, target)
	require.NoError(t, err)
	require.InDelta(t, 0.5, status.Load, 0)
	require.NoError(t, ctx.Err())
	require.LessOrEqual(t, read.Load(), int64(maxHeaderBytes+64<<10))
}

// The body of a refusal that did not end delayed the next attempt until the deadline.
func TestARefusalWhoseBodyStallsIsNotWaitedFor(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(call.HeaderShed, verdict.NotRun.String())
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	defer server.Close()
	free := make(chan slot.Outcome, 1)
	began := time.Now()
	_, err := New(nil, nil).Send(t.Context(), targetOf(server), get(10*time.Second), func(o slot.Outcome, _ time.Duration) { free <- o })
	require.Equal(t, verdict.NotRun, verdict.From(err).Verdict)
	require.Equal(t, slot.Shed, <-free)
	require.Less(t, time.Since(began), 8*time.Second)
}
