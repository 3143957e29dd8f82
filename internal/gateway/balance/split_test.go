package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/route"
	"cairndock/internal/gateway/upstream"
)

const (
	// splitTrials is the number of random splits; each takes a few milliseconds.
	splitTrials = 100
	// splitRequests is the number of requests of a trial, which span several windows.
	splitRequests = 600
	// splitWindow and splitTolerance are the platform's bound on the share of a backend:
	// within 0.2 of its weight in any 200 requests.
	splitWindow    = 200
	splitTolerance = 0.2
	// splitInterval is the time between two requests.
	splitInterval = 10 * time.Millisecond
)

// split is a route with several backends, and the upstreams of each.
type split struct {
	route     route.Route
	upstreams map[string][]*upstream.Upstream
	// serviceTime is how long an upstream works on a request.
	serviceTime time.Duration
}

// newSplit makes a split of two to four backends with random weights, zero included, and
// up to three upstreams each. The upstreams work for 0.1 to 2 s on a request, so that of
// 100 requests per second between none and most find no free capacity.
func newSplit(rng *rand.Rand) split {
	s := split{
		upstreams:   map[string][]*upstream.Upstream{},
		serviceTime: time.Duration(100+rng.IntN(1900)) * time.Millisecond,
	}
	for i := range 2 + rng.IntN(3) {
		service := fmt.Sprint("s-", i)
		s.route.Backends = append(s.route.Backends, route.Backend{Service: service, Weight: rng.IntN(101)})
		for j := range rng.IntN(4) {
			u := newUpstream(fmt.Sprint(service, "-", j), "west-1", "west")
			u.Service, u.Capacity = service, 1+rng.IntN(9)
			s.upstreams[service] = append(s.upstreams[service], u)
		}
	}
	s.route.Backends[0].Weight++ // at least one has a weight
	return s
}

// withCapacity returns the split with enough capacity everywhere that nothing is rejected.
// Only the service except keeps its upstreams.
func (s split) withCapacity(except string) split {
	ample := split{route: s.route, serviceTime: s.serviceTime, upstreams: map[string][]*upstream.Upstream{}}
	for _, b := range s.route.Backends {
		if b.Service == except {
			ample.upstreams[b.Service] = s.upstreams[b.Service]
			continue
		}
		u := newUpstream(b.Service+"-roomy", "west-1", "west")
		u.Service, u.Capacity = b.Service, splitRequests
		ample.upstreams[b.Service] = []*upstream.Upstream{u}
	}
	return ample
}

// outcome is the result of one request.
type outcome struct {
	// service is the service that the route picked.
	service string
	// upstream is the ID of the upstream chosen; it is empty if the request was rejected.
	upstream string
	reason   balance.Reason
}

// send sends requests with the given IDs to a split through one host: the route picks a
// service, and the balancer chooses an upstream of it.
func (s split) send(t *testing.T, ids []string, noAffinity bool) []outcome {
	t.Helper()
	b, now := newBalancer(1), time.Now()
	var out []outcome
	doneAt := map[int]balance.Choice{}
	steps := int(s.serviceTime / splitInterval)
	for i, id := range ids {
		if choice, ok := doneAt[i]; ok {
			b.Done(choice)
		}
		service := s.route.Pick(id)
		c, reason := b.Choose(balance.Query{Key: id, NoAffinity: noAffinity, Upstreams: s.upstreams[service], Now: now})
		o := outcome{service: service, reason: reason}
		if reason == balance.Chosen {
			require.Equal(t, service, c.Upstream.Service, "a request goes to the service that its route picked")
			o.upstream = c.Upstream.ID
			doneAt[i+steps] = c
		}
		out = append(out, o)
		now = now.Add(splitInterval)
	}
	return out
}

// randomIDs returns IDs in the form that clients use.
func randomIDs(rng *rand.Rand) []string {
	ids := make([]string, splitRequests)
	for i := range ids {
		ids[i] = fmt.Sprintf("%016x", rng.Uint64())
	}
	return ids
}

// requireSharesOfWeights checks that each service gets its share in each window.
func requireSharesOfWeights(t *testing.T, r route.Route, out []outcome) {
	t.Helper()
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	for _, b := range r.Backends {
		want, n := float64(b.Weight)/float64(total), 0
		for i, o := range out {
			if o.service == b.Service {
				n++
			}
			if i >= splitWindow && out[i-splitWindow].service == b.Service {
				n--
			}
			if i >= splitWindow-1 {
				require.InDelta(t, want, float64(n)/splitWindow, splitTolerance, "%s at request %d", b.Service, i)
			}
		}
	}
}

// only returns the outcomes of the requests of one service.
func only(service string, out []outcome) []outcome {
	var matching []outcome
	for _, o := range out {
		if o.service == service {
			matching = append(matching, o)
		}
	}
	return matching
}

// requireSameOutcomes checks that a service's requests had the same outcomes in two runs.
// It reports only the first difference, because there may be hundreds.
func requireSameOutcomes(t *testing.T, want, got []outcome, service string) {
	t.Helper()
	require.Len(t, got, len(want), service)
	for i := range want {
		require.Equal(t, want[i], got[i], "request %d of %s, beside backends with free capacity", i, service)
	}
}

// count returns the number of outcomes with a reason.
func count(out []outcome, reason balance.Reason) int {
	n := 0
	for _, o := range out {
		if o.reason == reason {
			n++
		}
	}
	return n
}

// A backend without free capacity keeps its share of the requests: excess requests are
// rejected there and never sent to another backend. The free capacity of other backends
// therefore changes nothing at this backend.
func TestBackendWithoutRoomKeepsItsShareAndTheOthersTheirs(t *testing.T) {
	rejectedBesideCapacity := 0
	for seed := range uint64(splitTrials) {
		rng := rand.New(rand.NewPCG(seed, 0))
		s, ids, noAffinity := newSplit(rng), randomIDs(rng), seed%2 == 0
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			out := s.send(t, ids, noAffinity)
			requireSharesOfWeights(t, s.route, out)
			for _, b := range s.route.Backends {
				own := only(b.Service, out)
				beside := s.withCapacity(b.Service).send(t, ids, noAffinity)
				requireSameOutcomes(t, own, only(b.Service, beside), b.Service)
				require.Equal(t, len(ids)-len(own), count(beside, balance.Chosen)-count(own, balance.Chosen),
					"backends with free capacity serve exactly their share")
				rejectedBesideCapacity += len(own) - count(own, balance.Chosen)
			}
		})
	}
	require.Greater(t, rejectedBesideCapacity, splitTrials*splitRequests/20, "backends often lack capacity in the trials")
}
