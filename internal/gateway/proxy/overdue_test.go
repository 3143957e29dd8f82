package proxy_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/route"
)

// ask sends a request with an id and a key, and gives the answer's status.
func (w *world) ask(id, key string) int {
	w.t.Helper()
	r, err := http.NewRequestWithContext(w.t.Context(), http.MethodGet, w.server.URL+"/x/", nil)
	require.NoError(w.t, err)
	r.Host = "a.example"
	r.Header.Set(headerID, id)
	if key != "" {
		r.Header.Set(headerKey, key)
	}
	resp, err := http.DefaultClient.Do(r)
	require.NoError(w.t, err)
	require.NoError(w.t, resp.Body.Close())
	return resp.StatusCode
}

// send sends a request about one of many things.
func (w *world) send(key int) int {
	w.t.Helper()
	return w.ask(strconv.Itoa(key), strconv.Itoa(key))
}

func TestRequestsWithoutAKeyAreSpread(t *testing.T) {
	w := newWorld(t)
	w.routes(usual(route.Repeatable))
	counts := []*atomic.Int64{w.upstream(sound), w.upstream(sound), w.upstream(sound), w.upstream(sound)}
	for i := range 100 {
		w.ask(strconv.Itoa(i), "")
	}
	for _, c := range counts {
		require.Greater(t, c.Load(), int64(10))
	}
}

func silent(net.Conn, *http.Request) { time.Sleep(3 * time.Second) }

func cutShort(c net.Conn, r *http.Request) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nGenuine: 1\r\nContent-Length: 50\r\n\r\nhalf", r.Header.Get(headerID))
}

// An upstream that is silent, or breaks its answers off, is avoided, though
// neither ends its connections nor fails its health check.
func TestAnUpstreamThatRequestsShowToBeUnwellIsAvoided(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(net.Conn, *http.Request)
	}{
		{"silent", silent},
		{"breaks off", cutShort},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t)
			w.routes(usual(route.Once))
			w.upstream(sound)
			for key := range 64 { // what is usual
				require.Equal(t, http.StatusOK, w.send(key))
			}
			failing := w.upstream(c.fail)
			for key := 0; failing.Load() < 3; key++ {
				require.Less(t, key, 200)
				w.send(key)
			}
			require.Eventually(t, func() bool { return strings.Contains(w.log.String(), "avoided for a time") }, time.Second, 10*time.Millisecond)
			before := failing.Load()
			for key := range 30 {
				require.Equal(t, http.StatusOK, w.send(key))
			}
			require.Equal(t, before, failing.Load())
		})
	}
}

// An answer may be lost without a sign. What may be repeated is then sent to
// another upstream in time, and what may not never is.
func TestARequestWhoseAnswerIsOverdueIsServedElsewhereIfItMayBeRepeated(t *testing.T) {
	for _, repeat := range []route.Repeat{route.Repeatable, route.Once} {
		t.Run(fmt.Sprint(repeat), func(t *testing.T) {
			w := newWorld(t)
			usual := usual(repeat)
			usual.Timeout = time.Second
			w.routes(usual)
			good := w.upstream(sound)
			for key := range 64 { // what is usual
				require.Equal(t, http.StatusOK, w.send(key))
			}
			lost := w.upstream(silent)
			status := 0
			before := good.Load()
			for key := 0; lost.Load() == 0; key++ {
				require.Less(t, key, 200)
				before = good.Load()
				status = w.send(key)
			}
			if repeat == route.Once {
				require.Equal(t, http.StatusGatewayTimeout, status)
				require.Equal(t, before, good.Load())
				return
			}
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, before+1, good.Load())
			require.Contains(t, w.log.String(), "another upstream is tried")
		})
	}
}
