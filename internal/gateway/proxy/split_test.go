package proxy_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/route"
)

// splitRequests is the number of requests over which the platform checks a backend's share.
const splitRequests = 200

// sendAll sends requests with the ids concurrently and returns how many got each status;
// status zero counts requests without a response.
func (g *testGateway) sendAll(ids []string) map[int]int {
	var mu sync.Mutex
	var sent sync.WaitGroup
	statuses := map[int]int{}
	for _, id := range ids {
		sent.Go(func() {
			resp, _, err := g.send(g.t.Context(), http.MethodPost, "/x/", "", map[string]string{headerID: id})
			status := 0
			if err == nil {
				status = resp.StatusCode
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
	}
	sent.Wait()
	return statuses
}

// Of two backends, one is full. The other backend gets only the requests of its own weight,
// and requests that exceed the capacity of the full backend are refused. This keeps the shares
// of a split also while a backend is full.
func TestWhatAFullBackendHasNoRoomForIsNotMoved(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			g := newTestGateway(t)
			r := testRoute(route.Once)
			r.Timeout = time.Minute
			r.Backends = []route.Backend{{Service: "full", Weight: 30 + rng.IntN(40)}, {Service: "roomy", Weight: 30 + rng.IntN(40)}}
			g.setRoutes(r)
			capacity := 1 + rng.IntN(4)
			maxAccepted := int(math.Ceil(1.85 * float64(capacity))) // how many requests of the highest priority the upstream accepts
			allHeld := make(chan struct{})
			release := sync.OnceFunc(func() { close(allHeld) })
			defer release()
			full := g.addUpstreamOf("full", capacity, func(c net.Conn, r *http.Request) {
				<-allHeld
				healthy(c, r)
			})
			roomy := g.addUpstreamOf("roomy", splitRequests, healthy)

			var toFull, toRoomy []string
			for range splitRequests {
				id := fmt.Sprintf("%016x", rng.Uint64())
				if r.Pick(id) == "full" {
					toFull = append(toFull, id)
				} else {
					toRoomy = append(toRoomy, id)
				}
			}
			share := float64(r.Backends[1].Weight) / float64(r.Backends[0].Weight+r.Backends[1].Weight)
			require.InDelta(t, share, float64(len(toRoomy))/splitRequests, 0.2)
			held := make(chan map[int]int)
			go func() { held <- g.sendAll(toFull[:maxAccepted]) }()
			require.Eventually(t, func() bool { return full.Load() == int64(maxAccepted) }, 5*time.Second, time.Millisecond)

			require.Equal(t, map[int]int{http.StatusServiceUnavailable: len(toFull) - maxAccepted}, g.sendAll(toFull[maxAccepted:]))
			require.Equal(t, map[int]int{http.StatusOK: len(toRoomy)}, g.sendAll(toRoomy))
			require.EqualValues(t, len(toRoomy), roomy.Load(), "no request is moved to the backend with free capacity")
			release()
			require.Equal(t, map[int]int{http.StatusOK: maxAccepted}, <-held)
		})
	}
}
