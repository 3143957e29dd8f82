package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/exchange"
	"cairndock/internal/verdict"
)

// countingConn counts the bytes that are read from a connection.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// endless repeats a text until the connection is closed. It pauses for 1 ms after each 64 KB,
// so that the fake clock advances.
func endless(c net.Conn, text string) {
	block := []byte(strings.Repeat(text, 64<<10/len(text)+1))
	for {
		if _, err := c.Write(block); err != nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// pipeClient returns a client whose connections lead to respond, and a counter of the bytes
// that it reads.
func pipeClient(respond func(c net.Conn, id string)) (*exchange.Client, *atomic.Int64) {
	read := &atomic.Int64{}
	return exchange.NewClient(func(context.Context, string, string) (net.Conn, error) {
		here, there := net.Pipe()
		go func() {
			defer func() { _ = there.Close() }()
			_ = there.SetDeadline(time.Now().Add(2 * time.Second)) // a pipe returns no error
			if r, err := http.ReadRequest(bufio.NewReader(there)); err == nil {
				respond(there, r.Header.Get("Id"))
			}
		}()
		return countingConn{here, read}, nil
	}, protocol{}), read
}

// inBubble runs a test with the fake clock and waits until the upstream's goroutines have ended.
func inBubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(3 * time.Second)
		test(t)
	})
}

// sendGET sends a GET request with the ID "r".
func sendGET(ctx context.Context, c *exchange.Client) (*exchange.Response, error) {
	return c.Send(ctx, target("pipe"), &exchange.Request{ID: "r", Method: http.MethodGet, Target: "/", Host: "a.example", Header: http.Header{"Id": {"r"}}})
}

// sendForASecond sends a GET request with a deadline of 1 s and reads the response.
func sendForASecond(t *testing.T, c *exchange.Client) (body string, err error) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	resp, err := sendGET(ctx, c)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

// Upstreams that send bytes without end instead of a response head made a host read them until
// the deadline of the request and keep them in memory, up to several hundred MB per request.
func TestAHeadWithoutEndIsAbortedAtTheLimit(t *testing.T) {
	const limit = exchange.DefaultMaxHeadBytes
	for name, c := range map[string]struct {
		start, repeated string
		bytes           int64 // the maximum number of bytes that are read
	}{
		"status line":       {"HTTP/1.1 200 ", "x", limit},
		"one field":         {"HTTP/1.1 200 OK\r\nId: ", "x", limit},
		"fields":            {"HTTP/1.1 200 OK\r\n", "Name: value\r\n", limit},
		"interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n", limit},
		"large interim":     {"", "HTTP/1.1 103 Early\r\nLink: " + strings.Repeat("x", 8000) + "\r\n\r\n", 9 * limit},
		"not HTTP":          {"", "\x16\x03\x01", 4 << 10},
		"blank lines":       {"", "\r\n", 4 << 10},
		"a later protocol":  {"", "HTTP/2.0 200 OK\r\n", 4 << 10},
		"not HTTP, later":   {"HTTP/1.1 100 Continue\r\n\r\n", "x", 8 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				client, read := pipeClient(func(nc net.Conn, _ string) {
					_, _ = io.WriteString(nc, c.start)
					endless(nc, c.repeated)
				})
				began := time.Now()
				_, err := sendForASecond(t, client)
				e := verdict.From(err)
				require.Equal(t, verdict.MayHaveRun, e.Verdict)
				require.Equal(t, verdict.UpstreamFailed, e.Reason)
				require.LessOrEqual(t, time.Since(began), 50*time.Millisecond)
				require.LessOrEqual(t, read.Load(), c.bytes)
				require.Zero(t, client.Idle())
			})
		})
	}
}

// A first line that cannot be HTTP is rejected without waiting for more bytes.
func TestAFirstByteThatIsNotHTTPIsRejectedAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		client, _ := pipeClient(func(nc net.Conn, _ string) {
			_, _ = io.WriteString(nc, "x")
			time.Sleep(2 * time.Second)
		})
		began := time.Now()
		_, err := sendForASecond(t, client)
		require.Equal(t, verdict.UpstreamFailed, verdict.From(err).Reason)
		require.ErrorContains(t, err, "not HTTP/1")
		require.Zero(t, time.Since(began))
	})
}

// The error must name what an operator changes: the upstream or the setting.
func TestTheErrorOfALongHeadNamesTheUpstreamAndTheLimit(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		client, read := pipeClient(func(nc net.Conn, _ string) { endless(nc, "HTTP/1.1 200 ") })
		client.LimitResponses(exchange.ResponseLimits{HeadBytes: 5000, BodyBytes: exchange.DefaultMaxBodyBytes})
		_, err := sendForASecond(t, client)
		require.ErrorContains(t, err, "upstream i")
		require.ErrorContains(t, err, "limits.max_response_head_bytes")
		require.ErrorContains(t, err, "5000")
		require.EqualValues(t, 5000, read.Load())
	})
}

// The limit must not reject a head that complies with it, also when an earlier response left
// bytes in the read buffer, and must not apply to the body.
func TestAHeadOfTheMaximumSizeIsAccepted(t *testing.T) {
	head := func(status int, id string, size int) string {
		start := fmt.Sprintf("HTTP/1.1 %d X\r\nId: %s\r\nContent-Length: 9000\r\nFill: ", status, id)
		return start + strings.Repeat("f", size-len(start)-4) + "\r\n\r\n"
	}
	body := strings.Repeat("b", 9000)
	for size, ok := range map[int]bool{exchange.DefaultMaxHeadBytes: true, exchange.DefaultMaxHeadBytes + 1: false} {
		inBubble(t, func(t *testing.T) {
			client, _ := pipeClient(func(nc net.Conn, id string) {
				interim := strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", 8)
				late := head(200, "another", 500) + body
				_, _ = io.WriteString(nc, interim+late+interim+head(200, id, size)+body)
			})
			got, err := sendForASecond(t, client)
			if !ok {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, body, got)
		})
	}
}

// The fields of a head of 64 KB took 1 MB of memory for as long as its response was forwarded.
func TestAHeadOfTooManyFieldsIsRefused(t *testing.T) {
	for fields, ok := range map[int]bool{1000: true, 1001: false} {
		inBubble(t, func(t *testing.T) {
			client, _ := pipeClient(func(nc net.Conn, id string) {
				_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 0\r\n"+strings.Repeat("a:\r\n", fields/2)+strings.Repeat("b:\r\n", fields-fields/2-2)+"\r\n")
			})
			_, err := sendForASecond(t, client)
			if ok {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, "1000 fields")
			require.Equal(t, verdict.MayHaveRun, verdict.From(err).Verdict)
		})
	}
}

// A late response to another request is skipped, but not if its body does not end.
func TestALateResponseWithoutEndIsAborted(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		client, read := pipeClient(func(nc net.Conn, _ string) {
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nId: another\r\n\r\n")
			endless(nc, "x")
		})
		began := time.Now()
		_, err := sendForASecond(t, client)
		require.Equal(t, verdict.MayHaveRun, verdict.From(err).Verdict)
		require.LessOrEqual(t, time.Since(began), 50*time.Millisecond)
		require.LessOrEqual(t, read.Load(), int64(2<<20))
	})
}
