package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"cairndock/platform/platformtest"
)

const (
	// coldTime is how long a server is cold that has turned cold, and coldAllowed how many
	// requests it may get in a second meanwhile: warmup_per_s x warmup_overshoot + warmup_slack.
	coldTime    = 3 * time.Second
	coldPerS    = 3.5
	coldAllowed = coldPerS*1.5 + 5
	// beat is heartbeat_interval_ms, and outage how long the store is down.
	beat   = 1500 * time.Millisecond
	outage = 4500 * time.Millisecond
	// coldRate is the rate of all requests to four servers.
	coldRate = 60
)

// coldServer is a server that may turn cold. Its health answers say so at once, and its entry in the
// store as soon as the store takes it.
type coldServer struct {
	platformtest.Upstream
	row platformtest.UpstreamRow

	mu        sync.Mutex
	coldUntil time.Time
	arrivals  []time.Time
}

func (s *coldServer) left() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, time.Until(s.coldUntil))
}

func (s *coldServer) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/healthz" {
		w.Header().Set("X-Cairndock-Instance-Id", s.ID)
		w.Header().Set("X-Cairndock-Warmup-Ms", fmt.Sprint(s.left().Milliseconds()))
		return
	}
	id, ok := s.Accept(w, q)
	if !ok {
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	s.mu.Lock()
	if time.Now().Before(s.coldUntil) {
		s.arrivals = append(s.arrivals, time.Now())
	}
	s.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	s.Sign(w.Header(), 1)
	_, _ = io.WriteString(w, "answer to "+id)
}

// most returns the largest number of arrivals in one second while the server was cold.
func (s *coldServer) most() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.SortFunc(s.arrivals, time.Time.Compare)
	most := 0
	for i, first := range s.arrivals {
		n := 0
		for _, at := range s.arrivals[i:] {
			if at.Sub(first) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// turnCold: servers turn cold while the store is down.
func turnCold(dir string, trouble bool, r *record) (int, error) {
	store, address := platform()
	var servers []*coldServer
	for i, zone := range []string{"gebze-a", "tuzla-b", "gebze-a", "tuzla-b"} {
		s := &coldServer{Upstream: platformtest.Upstream{ID: fmt.Sprintf("i-%d", i+1), Slots: 8}}
		s.row = platformtest.UpstreamRow{Service: "formul", Address: serve(s), Zone: zone, Capacity: 8, StartedAt: time.Now()}
		store.PutUpstream(s.ID, s.row)
		servers = append(servers, s)
	}
	store.PutConfig(platformtest.Config{
		Version:  1,
		Routes:   map[string]platformtest.Route{"r-order": {Host: "shop.example", PathPrefix: "/orders/", Kind: platformtest.Unsafe, TimeoutMS: 2000, TargetLatencyMS: 1000, Priority: 1, Service: "formul", Attempts: 2}},
		Services: map[string]platformtest.Service{"formul": {HealthCheckPath: "/healthz", MaxConnections: 330, WarmUpSeconds: coldTime.Seconds(), WarmUpRate: coldPerS}},
		Limits:   platformtest.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 64 << 20, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
	})
	var hosts []*host
	for i, zone := range []string{"gebze-a", "tuzla-b"} {
		h, err := newHost(dir, fmt.Sprintf("edge-%s-%d", zone, i+1), zone, "marmara", address, true)
		if err != nil {
			return 0, err
		}
		hosts = append(hosts, h)
		if err := h.start(); err != nil {
			return 0, err
		}
		defer h.signal(syscall.SIGKILL)
	}
	for _, h := range hosts {
		if err := h.awaitReady(10 * time.Second); err != nil {
			return 0, err
		}
	}
	time.Sleep(5 * time.Second)

	var wait sync.WaitGroup
	end := time.Now().Add(10 * time.Second)
	const clients = 30
	for i := range clients {
		wait.Go(func() {
			c := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{}}
			time.Sleep(time.Duration(i) * time.Second / coldRate)
			tick := time.NewTicker(clients * time.Second / coldRate)
			defer tick.Stop()
			for n := 0; time.Now().Before(end); n++ {
				q, _ := http.NewRequest(http.MethodPost, "http://"+hosts[i%2].callers+"/orders/1", nil)
				q.Host = "shop.example"
				platformtest.Request{ID: fmt.Sprintf("e%03x%012x", i, n), Timeout: 2 * time.Second}.SetHeaders(q.Header)
				if resp, err := c.Do(q); err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
				<-tick.C
			}
		})
	}
	time.Sleep(2 * time.Second)
	down := false
	if trouble {
		down = true
		store.SetFaults(platformtest.Faults{Status: http.StatusServiceUnavailable})
		r.line("the store answers 503 from now on, for %s", outage)
	}
	time.Sleep(time.Second)
	for _, s := range servers {
		if s.row.Zone != "tuzla-b" {
			continue
		}
		s.mu.Lock()
		s.coldUntil = time.Now().Add(coldTime)
		s.mu.Unlock()
		r.line("%s turns cold for %s", s.ID, coldTime)
		if !down { // the server's entry says so at once, and with each beat
			wait.Go(func() {
				for left := s.left(); left > 0; left = s.left() {
					row := s.row
					row.ColdLeft = left
					store.PutUpstream(s.ID, row)
					time.Sleep(min(beat, left))
				}
				store.PutUpstream(s.ID, s.row)
			})
		}
	}
	time.Sleep(outage - time.Second)
	store.SetFaults(platformtest.Faults{})
	wait.Wait()
	code := held
	for _, s := range servers {
		if s.row.Zone != "tuzla-b" {
			continue
		}
		most := s.most()
		r.line("%s got %d requests while it was cold, at most %d of them in one second; allowed are %.2f", s.ID, len(s.arrivals), most, coldAllowed)
		if float64(most) > coldAllowed {
			code = broken
		}
	}
	return code, nil
}
