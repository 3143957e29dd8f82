package proxy_test

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/route"
)

// Guards against sizes that leave out the request or the rest of a long response, by which a
// route with large bodies would not be known as one.
func TestTheSizesOfRequestsAndResponsesAreMeasured(t *testing.T) {
	for name, c := range map[string]struct{ request, response int }{
		"small": {0, 5}, "large request": {900, 5}, "response within the prefix": {0, 5000}, "long response": {0, 100_000},
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestGateway(t)
			g.setRoutes(testRoute(route.Once))
			g.addUpstream(func(nc net.Conn, r *http.Request) {
				reply(nc, r, 200, "Genuine: 1\r\n", strings.Repeat("x", c.response))
			})
			for range 32 {
				resp, _, err := g.send(t.Context(), http.MethodPost, "/x/1", strings.Repeat("y", c.request), nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, resp.StatusCode)
			}
			require.InDelta(t, c.request+c.response, g.proxy.MeanBytes("r"), 1)
		})
	}
}
