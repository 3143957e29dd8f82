package quota

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"cairndock/internal/gateway/account"
)

// This file simulates a cluster of limiters in virtual time. Its network loses and delays
// messages and can be partitioned.

// cluster is a number of simulated hosts that share limits.
type cluster struct {
	rng    *rand.Rand
	bound  Bound
	layout *Layout

	mu    sync.Mutex
	hosts map[string]*clusterHost
	// accounts are the accounts of the current configuration, by name.
	accounts map[string]*account.Account
	// partitioned reports whether two hosts cannot reach each other.
	partitioned func(a, b *clusterHost) bool
	// loss is the fraction of responses that are lost, and maxDelay the maximum delay of a
	// response in addition to the round-trip time.
	loss     float64
	maxDelay time.Duration
	// admitted and refused are the times of the admitted and of the refused requests, by
	// account.
	admitted, refused map[string][]time.Time
	tokenRequests     int
}

// clusterHost is one host. It gets a new limiter at each restart.
type clusterHost struct {
	cluster            *cluster
	name, zone, region string
	limiter            *Limiter
	assignment         *Assignment
	// down is set while the host's process is not running.
	down bool
}

// Round-trip times between hosts within a region and across regions.
const (
	nearRTT = time.Millisecond
	farRTT  = 70 * time.Millisecond
)

func newCluster(seed uint64, l *Layout, accounts ...*account.Account) *cluster {
	c := &cluster{
		rng: rand.New(rand.NewPCG(seed, 1)), bound: bound, layout: l, hosts: map[string]*clusterHost{}, accounts: map[string]*account.Account{},
		partitioned: func(_, _ *clusterHost) bool { return false }, admitted: map[string][]time.Time{}, refused: map[string][]time.Time{},
	}
	for _, a := range accounts {
		c.accounts[a.Name] = a
	}
	for _, z := range l.Zones {
		for _, name := range slices.Concat(z.Large, z.Small) {
			h := &clusterHost{cluster: c, name: name, zone: z.Name, region: z.Region}
			c.hosts[name] = h
			h.start()
		}
	}
	return c
}

// start starts the host's process without any state of an earlier process.
func (h *clusterHost) start() {
	c := h.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	h.down = false
	h.assignment = &Assignment{Layout: c.layout, HoldsShards: true, HeldSince: time.Now()}
	h.limiter = NewLimiter(Options{Host: h.name, Zone: h.zone, Region: h.region, Bound: c.bound, Hosts: h, Metrics: noMetrics{}})
}

func (h *clusterHost) stop() {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	h.down = true
}

type noMetrics struct{}

func (noMetrics) Add(string, int) {}

// Assignment implements Hosts.
func (h *clusterHost) Assignment() *Assignment {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	return h.assignment
}

var errNoResponse = errors.New("no response")

// RequestTokens implements Hosts.
func (h *clusterHost) RequestTokens(ctx context.Context, host string, request TokenRequest) (TokenResponse, error) {
	c := h.cluster
	other, delay, reached, delivered := c.route(h, host)
	if !reached {
		<-ctx.Done()
		return TokenResponse{}, errNoResponse
	}
	rtt := nearRTT
	if other.region != h.region {
		rtt = farRTT
	}
	time.Sleep(rtt / 2)
	response, up := other.grantTokens(request)
	time.Sleep(rtt/2 + delay)
	if !up || !delivered || ctx.Err() != nil && delay == 0 {
		return TokenResponse{}, errNoResponse
	}
	// A delayed response is returned even after the timeout, as at a host that was paused.
	return response, nil
}

// route returns the host that a token request reaches, the additional delay of its response,
// and whether the response is delivered.
func (c *cluster) route(from *clusterHost, to string) (other *clusterHost, delay time.Duration, reached, delivered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokenRequests++
	other = c.hosts[to]
	if other == nil || other.down || c.partitioned(from, other) {
		return nil, 0, false, false
	}
	if c.maxDelay > 0 {
		delay = time.Duration(c.rng.Int64N(int64(c.maxDelay)))
	}
	return other, delay, true, c.rng.Float64() >= c.loss
}

func (h *clusterHost) grantTokens(request TokenRequest) (TokenResponse, bool) {
	c := h.cluster
	c.mu.Lock()
	limiter, a, down := h.limiter, c.accounts[request.Account], h.down
	c.mu.Unlock()
	if down {
		return TokenResponse{}, false
	}
	return limiter.Grant(a, request.Tokens), true
}

// request sends a request of an account to the host.
func (h *clusterHost) request(t testing.TB, name string) {
	c := h.cluster
	c.mu.Lock()
	limiter, a, down := h.limiter, c.accounts[name], h.down
	c.mu.Unlock()
	if down {
		return
	}
	_, ok := limiter.Admit(t.Context(), a)
	c.mu.Lock()
	defer c.mu.Unlock()
	if h.limiter != limiter || h.down {
		return // the process has ended without forwarding the request
	}
	if ok {
		c.admitted[name] = append(c.admitted[name], time.Now())
	} else {
		c.refused[name] = append(c.refused[name], time.Now())
	}
}

// load sends requests of an account for the duration d, at random times with an average rate.
// pick chooses the host of each request.
func (c *cluster) load(t testing.TB, wait *sync.WaitGroup, name string, perSecond float64, d time.Duration, pick func(*rand.Rand) *clusterHost) {
	c.mu.Lock()
	rng := rand.New(rand.NewPCG(c.rng.Uint64(), 2))
	c.mu.Unlock()
	wait.Go(func() {
		for end := time.Now().Add(d); time.Now().Before(end); {
			time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
			h := pick(rng)
			wait.Go(func() { h.request(t, name) })
		}
	})
}

// filterHosts returns the hosts that a filter selects, sorted by name.
func (c *cluster) filterHosts(filter func(*clusterHost) bool) []*clusterHost {
	var out []*clusterHost
	for _, h := range c.hosts {
		if filter(h) {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b *clusterHost) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return out
}

// large reports whether the host is one of the large hosts, to which clients are directed
// first.
func (h *clusterHost) large() bool {
	for _, z := range h.cluster.layout.Zones {
		if slices.Contains(z.Large, h.name) {
			return true
		}
	}
	return false
}

// randomHost returns a function that picks a random host.
func randomHost(hosts []*clusterHost) func(*rand.Rand) *clusterHost {
	return func(rng *rand.Rand) *clusterHost { return hosts[rng.IntN(len(hosts))] }
}

// maxInWindow returns the maximum number of times within any window.
func maxInWindow(times []time.Time, window time.Duration) int {
	times = slices.Clone(times)
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
