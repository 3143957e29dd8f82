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

// keptConnections is an upstream that serves many requests on a connection, until
// its connections go silent; new ones work.
type keptConnections struct {
	// silenced is how often that happened, and fresh counts the requests that
	// came as the first on their connection.
	silenced, fresh atomic.Int64
}

func (k *keptConnections) respond(c net.Conn, r *http.Request) {
	k.fresh.Add(1)
	born, reader := k.silenced.Load(), bufio.NewReader(c)
	for {
		// Some time, so that requests at once have connections of their own.
		time.Sleep(20 * time.Millisecond)
		if k.silenced.Load() != born {
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

// When the connections to an upstream went silent without a reset, three overdue
// requests were evidence enough to eject it for 2 s, though it answered on new
// connections.
func TestSilentConnectionsDoNotEjectAnUpstreamThatAnswersNewOnes(t *testing.T) {
	const atOnce = 12
	g := newTestGateway(t)
	g.capacity = 10 * atOnce
	r := testRoute(route.Repeatable)
	r.Timeout = 5 * time.Second
	g.setRoutes(r)
	var k keptConnections
	g.addUpstream(k.respond)
	sendAtOnce := func() {
		var done sync.WaitGroup
		for key := range atOnce {
			done.Go(func() { g.getKey(key) })
		}
		done.Wait()
	}
	for range 1 + 64/atOnce { // for the latency baseline, and idle connections
		sendAtOnce()
	}
	healthyOne := g.addUpstream(healthy)
	time.Sleep(1700 * time.Millisecond) // until its successes are evidence no more
	k.silenced.Add(1)
	before := k.fresh.Load()
	sendAtOnce()
	require.Positive(t, healthyOne.Load(), "what is overdue is sent elsewhere")
	for key := range 20 {
		require.Equal(t, http.StatusOK, g.getKey(key))
	}
	require.Greater(t, k.fresh.Load(), before, "new connections are made")
	require.NotContains(t, g.log.String(), "avoided for a time")
}
