package proxy_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/exchange"
	"cairndock/internal/gateway/route"
)

// begin writes the head of a success with a further header line, and the beginning of its body.
func begin(c net.Conn, r *http.Request, line string, size int) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nGenuine: 1\r\n%s\r\n\r\n%s", r.Header.Get(headerID), line, strings.Repeat("x", size))
}

// An upstream whose responses begin well and then fail while they are forwarded counted as
// healthy, and went on to get its part of the requests.
func TestAnUpstreamThatFailsAfterTheBeginningOfItsResponsesIsEjected(t *testing.T) {
	for name, fail := range map[string]func(c net.Conn, r *http.Request){
		"breaks off":  func(c net.Conn, r *http.Request) { begin(c, r, "Content-Length: 100000", 50000) },
		"without end": func(c net.Conn, r *http.Request) { begin(c, r, "A: b", 0); writeEndlessly(c, "x") },
		"no chunk": func(c net.Conn, r *http.Request) {
			begin(c, r, "Transfer-Encoding: chunked", 0)
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\nnot a length\r\n", 50000, strings.Repeat("x", 50000))
		},
		"too long": func(c net.Conn, r *http.Request) { begin(c, r, "Content-Length: 50000", 50500) },
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestGateway(t)
			g.proxy.Client.LimitResponses(exchange.ResponseLimits{HeadBytes: exchange.DefaultMaxHeadBytes, BodyBytes: 200_000})
			g.setRoutes(testRoute(route.Once))
			failing := g.addUpstream(fail)
			g.addUpstream(healthy)
			get := func(key int) error {
				text := strconv.Itoa(key)
				_, _, err := g.send(t.Context(), http.MethodGet, "/x/", "", map[string]string{headerID: text, headerKey: text})
				return err
			}
			for key := 0; failing.Load() < 3; key++ {
				require.Less(t, key, 200)
				before := failing.Load()
				err := get(key)
				require.Equal(t, failing.Load() > before, err != nil, "a failed response looks complete")
			}
			require.Eventually(t, func() bool { return g.log.has("avoided for a time") }, time.Second, 10*time.Millisecond)
			before := failing.Load()
			for key := range 30 {
				require.NoError(t, get(key))
			}
			require.Equal(t, before, failing.Load())
		})
	}
}

// An operator must see which upstream exceeded which limit.
func TestTheLogNamesTheUpstreamAndTheLimitThatItExceeded(t *testing.T) {
	g := newTestGateway(t)
	g.setRoutes(testRoute(route.Once))
	g.addUpstream(endlessHead)
	resp, _ := g.get()
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	g.requireLogged("upstream i-1 exceeds the limit of 65536 bytes of a response head (limits.max_response_head_bytes)")
}

// The body of a refusal that did not end delayed the attempt at another upstream until no time
// was left.
func TestARefusalWhoseBodyStallsIsRetriedAtOnce(t *testing.T) {
	g := newTestGateway(t)
	r := testRoute(route.Once)
	r.Timeout = 5 * time.Second
	g.setRoutes(r)
	refusing := g.addUpstream(func(c net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 50\r\n\r\nhalf", r.Header.Get(headerID))
		time.Sleep(5 * time.Second)
	})
	g.addUpstream(healthy)
	for key := 0; refusing.Load() == 0; key++ {
		require.Less(t, key, 200)
		began := time.Now()
		require.Equal(t, http.StatusOK, g.getKey(key))
		require.Less(t, time.Since(began), 4*time.Second)
	}
}
