package proxy_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/route"
)

// Clients got 504 long before their deadline, from hosts that were stopping and
// others, while an upstream was at work on their request:
//
//  1. the response was overdue, so the attempt was canceled;
//  2. only then another upstream was looked for, and none had room, or the one
//     that was found refused.
//
// The evidence is the host's log: an attempt with the detail "the response is
// overdue, another upstream is tried", a final line with the same 0.3 ms later,
// and no second attempt. An attempt that runs must not be given up before there
// is a response from elsewhere.

// overdueOnce responds at once until it is told to be late, and then 400 ms
// late: longer than the least time after which a response is overdue.
type overdueOnce struct{ late atomic.Bool }

func (o *overdueOnce) respond(c net.Conn, r *http.Request) {
	if o.late.Load() {
		time.Sleep(400 * time.Millisecond)
	}
	healthy(c, r)
}

// newOverdueGateway is a gateway with one upstream, whose responses are late from
// now on.
func newOverdueGateway(t *testing.T) (g *testGateway, requests *atomic.Int64) {
	t.Helper()
	g = newTestGateway(t)
	r := testRoute(route.Repeatable)
	r.Timeout = 2 * time.Second
	g.setRoutes(r)
	var o overdueOnce
	requests = g.addUpstream(o.respond)
	for key := range 64 { // for the latency baseline
		require.Equal(t, http.StatusOK, g.getKey(key))
	}
	o.late.Store(true)
	return g, requests
}

func TestAnOverdueAttemptGoesOnWhileThereIsNoOtherUpstream(t *testing.T) {
	g, requests := newOverdueGateway(t)
	before := requests.Load()
	require.Equal(t, http.StatusOK, g.getKey(1))
	require.Equal(t, before+1, requests.Load())
}

func TestAnOverdueAttemptGoesOnWhileTheOtherUpstreamRefuses(t *testing.T) {
	g, _ := newOverdueGateway(t)
	refused := g.addUpstream(shedding)
	// Keys that prefer the second upstream are refused there first.
	for key := range 6 {
		require.Equal(t, http.StatusOK, g.getKey(key))
	}
	require.Positive(t, refused.Load())
}

// The response that comes first is forwarded, and the upstream of the other
// attempt learns that nobody waits for it.
func TestTheFirstOfTwoResponsesWins(t *testing.T) {
	for _, c := range []struct {
		name   string
		second time.Duration
		hedged bool
	}{
		{"the other upstream's", 0, true},
		{"the overdue one's", time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, _ := newOverdueGateway(t)
			gone := make(chan struct{}, 10)
			second := g.addUpstream(func(c2 net.Conn, r *http.Request) {
				if c.second == 0 {
					healthy(c2, r)
					return
				}
				_, _ = c2.Read(make([]byte, 1)) // until it is canceled
				gone <- struct{}{}
			})
			began := time.Now()
			for key := 0; second.Load() == 0; key++ {
				require.Less(t, key, 50)
				began = time.Now()
				require.Equal(t, http.StatusOK, g.getKey(key))
			}
			took := time.Since(began)
			require.Less(t, took, 900*time.Millisecond)
			if c.hedged {
				return
			}
			select {
			case <-gone:
			case <-time.After(500 * time.Millisecond):
				t.Fatal("the upstream works on")
			}
		})
	}
}
