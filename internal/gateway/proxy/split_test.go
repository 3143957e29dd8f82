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

// splitRequests is the window in which the platform bounds a backend's share.
const splitRequests = 200

// sendAll sends requests with the ids at once and returns how many got each
// status.
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

// Two backends, of which one is full: the other one gets the requests of its
// weight and no more, and the rest of what the full one has no room for is
// refused. So the shares of a split hold also while a backend lacks room.
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
			room := int(math.Ceil(1.85 * float64(capacity))) // what it takes of the top priority
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
			go func() { held <- g.sendAll(toFull[:room]) }()
			require.Eventually(t, func() bool { return full.Load() == int64(room) }, 5*time.Second, time.Millisecond)

			require.Equal(t, map[int]int{http.StatusServiceUnavailable: len(toFull) - room}, g.sendAll(toFull[room:]))
			require.Equal(t, map[int]int{http.StatusOK: len(toRoomy)}, g.sendAll(toRoomy))
			require.EqualValues(t, len(toRoomy), roomy.Load(), "nothing is moved to the backend with room")
			release()
			require.Equal(t, map[int]int{http.StatusOK: room}, <-held)
		})
	}
}
