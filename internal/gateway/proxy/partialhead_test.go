package proxy_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/route"
)

// partialHeads are heads of responses with a body. An upstream stops in the middle of them.
var partialHeads = map[string]string{
	"length":           "HTTP/1.1 200 OK\r\nId: id-1\r\nGenuine: 1\r\nContent-Length: 5\r\n\r\n",
	"chunks":           "HTTP/1.1 200 OK\r\nId: id-1\r\nGenuine: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
	"short lines":      "HTTP/1.1 200 OK\nId: id-1\nGenuine: 1\nContent-Length: 5\n\n",
	"after an interim": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: id-1\r\nGenuine: 1\r\n\r\n",
}

func TestAResponseWhoseHeadBreaksOffIsNotForwardedAsASuccess(t *testing.T) {
	for name, head := range partialHeads {
		for end, closeConn := range map[string]func(c net.Conn, r *http.Request){"closed": func(net.Conn, *http.Request) {}, "reset": resetting} {
			t.Run(name+", "+end, func(t *testing.T) {
				for n := range head {
					g := newTestGateway(t)
					g.setRoutes(testRoute(route.Once))
					g.addUpstream(func(c net.Conn, r *http.Request) {
						_, _ = io.WriteString(c, head[:n])
						closeConn(c, r)
					})
					resp, _, err := g.do(t.Context(), http.MethodGet, "/x/1", "")
					require.NoError(t, err, "%q", head[:n])
					require.Equal(t, http.StatusBadGateway, resp.StatusCode, "%q", head[:n])
					require.Empty(t, resp.Header.Get("Genuine"), "%q", head[:n])
				}
			})
		}
	}
}
