package exchange_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/exchange"
	"cairndock/internal/verdict"
)

const bodyHead = "HTTP/1.1 200 OK\r\nId: r\r\n"

// A host waited until the deadline for the body of a response that no client can receive.
func TestALengthThatNoResponseMayHaveFailsAtTheHead(t *testing.T) {
	for _, length := range []string{"1099511627776", fmt.Sprint(exchange.DefaultMaxBodyBytes + 1), "99999999999999999999", "-1", "1e3", "5\r\nContent-Length: 6"} {
		inBubble(t, func(t *testing.T) {
			client, read := pipeClient(func(nc net.Conn, _ string) {
				_, _ = io.WriteString(nc, bodyHead+"Content-Length: "+length+"\r\n\r\n")
				endless(nc, "x")
			})
			began := time.Now()
			_, err := sendGET(t.Context(), client)
			require.Error(t, err, length)
			require.Equal(t, verdict.MayHaveRun, verdict.From(err).Verdict, length)
			require.Equal(t, verdict.UpstreamFailed, verdict.From(err).Reason, length)
			require.LessOrEqual(t, time.Since(began), 50*time.Millisecond, length)
			require.LessOrEqual(t, read.Load(), int64(8<<10), length)
		})
	}
}

// A body without end was read until the deadline of the request.
func TestABodyWithoutEndIsAbortedAtTheLimit(t *testing.T) {
	const limit = 1 << 20
	for name, c := range map[string]struct{ start, repeated string }{
		"until the connection closes": {"\r\n", "x"},
		"chunks":                      {"Transfer-Encoding: chunked\r\n\r\n", "8\r\nabcdefgh\r\n"},
		"one chunk":                   {"Transfer-Encoding: chunked\r\n\r\nfffffffffff\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				client, read := pipeClient(func(nc net.Conn, _ string) {
					_, _ = io.WriteString(nc, bodyHead+c.start)
					endless(nc, c.repeated)
				})
				client.LimitResponses(exchange.ResponseLimits{HeadBytes: exchange.DefaultMaxHeadBytes, BodyBytes: limit})
				began := time.Now()
				body, err := sendForASecond(t, client)
				require.ErrorContains(t, err, "limits.max_response_body_bytes")
				require.LessOrEqual(t, len(body), limit)
				require.LessOrEqual(t, time.Since(began), 50*time.Millisecond)
				require.LessOrEqual(t, read.Load(), int64(2*limit+64<<10))
				require.Zero(t, client.Idle())
			})
		})
	}
}

func TestTheEndOfAChunkedBodyIsBounded(t *testing.T) {
	for name, c := range map[string]struct{ start, repeated string }{
		"trailers":        {"0\r\n", "Name: value\r\n"},
		"one trailer":     {"0\r\nName: ", "x"},
		"chunk extension": {"1;a=", "x"},
		"chunk length":    {"", "0"},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				client, read := pipeClient(func(nc net.Conn, _ string) {
					_, _ = io.WriteString(nc, bodyHead+"Transfer-Encoding: chunked\r\n\r\n"+c.start)
					endless(nc, c.repeated)
				})
				began := time.Now()
				_, err := sendForASecond(t, client)
				require.Error(t, err)
				require.LessOrEqual(t, time.Since(began), 50*time.Millisecond)
				require.LessOrEqual(t, read.Load(), int64(exchange.DefaultMaxHeadBytes))
				require.Zero(t, client.Idle())
			})
		})
	}
}

// A body below the limit ends at the deadline, and at once when the client disconnects.
func TestABodyWithoutEndEndsWithItsRequest(t *testing.T) {
	for _, disconnectAfter := range []time.Duration{100 * time.Millisecond, time.Hour} {
		inBubble(t, func(t *testing.T) {
			client, _ := pipeClient(func(nc net.Conn, _ string) {
				_, _ = io.WriteString(nc, bodyHead+"\r\n")
				for {
					if _, err := io.WriteString(nc, "x"); err != nil {
						return
					}
					time.Sleep(time.Millisecond)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			defer time.AfterFunc(disconnectAfter, cancel).Stop()
			began := time.Now()
			resp, err := sendGET(ctx, client)
			require.NoError(t, err)
			_, err = io.ReadAll(resp.Body)
			require.ErrorIs(t, err, os.ErrDeadlineExceeded)
			require.NoError(t, resp.Body.Close())
			require.LessOrEqual(t, time.Since(began), min(time.Second, disconnectAfter)+time.Millisecond)
		})
	}
}

// A body that is longer than its length was forwarded as a complete response. Another complete
// response may follow a response, and a response to HEAD and one with status 204 have no body
// whose end could be wrong.
func TestABodyThatIsLongerThanItsLengthIsNotComplete(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		complete bool
	}{
		"length":           {bodyHead + "Content-Length: 4\r\n\r\nhalf and the rest", false},
		"no length left":   {bodyHead + "Content-Length: 0\r\n\r\nbody", false},
		"long":             {bodyHead + "Content-Length: 9000\r\n\r\n" + strings.Repeat("x", 9001), false},
		"chunks":           {bodyHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\nmore", false},
		"another response": {bodyHead + "Content-Length: 4\r\n\r\nhalf" + ok("another", ""), true},
		"without a body":   {"HTTP/1.1 204 No Content\r\nId: r\r\n\r\nbody", true},
		"of its length":    {bodyHead + "Content-Length: 4\r\n\r\nhalf", true},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				client, _ := pipeClient(func(nc net.Conn, _ string) {
					_, _ = io.WriteString(nc, c.response)
					time.Sleep(2 * time.Second)
				})
				_, err := sendForASecond(t, client)
				if c.complete {
					require.NoError(t, err)
					return
				}
				require.ErrorContains(t, err, "after its end")
				require.Zero(t, client.Idle())
			})
		})
	}
}
