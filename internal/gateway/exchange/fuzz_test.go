package exchange_test

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/exchange"
	"cairndock/internal/verdict"
)

// An upstream may send any bytes. No more of them are read than the limits allow, a failure is
// never proof that the request did not run, and a response to another request is never returned.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		ok("r", "whole"), ok("another", "x") + ok("r", "whole"), ok("r", "whole") + "more", "HTTP/1.1 100 Continue\r\n\r\n" + ok("r", ""),
		"HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffff\r\nhalf",
		"HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 1099511627776\r\n\r\nhalf", "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: -1\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nId: r\r\n\r\n", "HTTP/1.0 200 OK\r\nId: r\r\n\r\nuntil the end", "HTTP/1.1 200 " + strings.Repeat("x", 5000), "\x16\x03\x01", "HTTP/2.0 200",
		strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 9) + ok("r", ""),
	} {
		f.Add([]byte(seed))
	}
	const limit, maxBody = exchange.MinHeadBytes, 1000
	f.Fuzz(func(t *testing.T, data []byte) {
		client, read := pipeClient(func(nc net.Conn, _ string) {
			_, _ = nc.Write(data) // an error means that the client has seen enough
		})
		client.LimitResponses(exchange.ResponseLimits{HeadBytes: limit, BodyBytes: maxBody})
		resp, err := sendGET(t.Context(), client)
		if err != nil {
			var e *verdict.Error
			require.True(t, errors.As(err, &e))
			require.Equal(t, verdict.MayHaveRun, e.Verdict)
			require.LessOrEqual(t, read.Load(), int64(4*(9*limit+1<<20)))
			return
		}
		require.Equal(t, "r", resp.Header.Get("Id"))
		require.GreaterOrEqual(t, resp.Status, 200)
		body, err := io.ReadAll(resp.Body)
		require.LessOrEqual(t, len(body), maxBody)
		if err == nil && resp.Length >= 0 {
			require.Len(t, body, int(resp.Length))
		}
		require.NoError(t, resp.Body.Close())
	})
}
