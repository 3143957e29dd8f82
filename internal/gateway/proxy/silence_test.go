package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/route"
)

// keepAliveUpstream is an upstream that serves many requests on each connection. After silenced
// is incremented, it responds only on new connections.
type keepAliveUpstream struct {
	// silenced is how often the open connections were silenced, and firstRequests counts
	// the requests that were the first on their connection.
	silenced, firstRequests atomic.Int64
}

func (k *keepAliveUpstream) respond(c net.Conn, r *http.Request) {
	k.firstRequests.Add(1)
	silencedBefore, reader := k.silenced.Load(), bufio.NewReader(c)
	for {
		// The delay makes concurrent requests use separate connections.
		time.Sleep(20 * time.Millisecond)
		if k.silenced.Load() != silencedBefore {
			_, _ = c.Read(make([]byte, 1)) // until the host closes it
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nGenuine: 1\r\nContent-Length: 5\r\n\r\nwhole", r.Header.Get(headerID))
		var err error
		if r, err = http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// When the connections to an upstream stopped delivering packets without a reset, three
// overdue requests were enough to eject the upstream for 2 s, although it responded on new
// connections.
func TestSilentConnectionsDoNotEjectAnUpstreamThatAnswersNewOnes(t *testing.T) {
	const concurrency = 12
	g := newTestGateway(t)
	g.capacity = 10 * concurrency
	r := testRoute(route.Repeatable)
	r.Timeout = 5 * time.Second
	g.setRoutes(r)
	var k keepAliveUpstream
	g.addUpstream(k.respond)
	sendConcurrently := func() {
		var done sync.WaitGroup
		for key := range concurrency {
			done.Go(func() { g.getKey(key) })
		}
		done.Wait()
	}
	for range 1 + 64/concurrency { // for the latency baseline and idle connections
		sendConcurrently()
	}
	other := g.addUpstream(healthy)
	time.Sleep(1700 * time.Millisecond) // until its successes are too old to be used as evidence
	k.silenced.Add(1)
	before := k.firstRequests.Load()
	sendConcurrently()
	require.Positive(t, other.Load(), "overdue requests are sent to another upstream")
	for key := range 20 {
		require.Equal(t, http.StatusOK, g.getKey(key))
	}
	require.Greater(t, k.firstRequests.Load(), before, "new connections are made")
	require.NotContains(t, g.log.String(), "avoided for a time")
}
