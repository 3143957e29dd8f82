package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cairndock/platform/platformtest"
)

const (
	// foreignServers is the number of servers, and foreignClients that of clients, each of which
	// sends one request after the other.
	foreignServers = 9
	foreignClients = 24
	// foreignWork is how long a request takes at a server.
	foreignWork = 50 * time.Millisecond
	// heartbeat is the time between two writes of a server.
	heartbeat = 1500 * time.Millisecond
	// foreignAfter is when another writer writes the entry, after the server's leaving was
	// acknowledged.
	foreignAfter = 4 * time.Second
	// servesOn is how long the server serves on after that acknowledgment.
	servesOn = 12 * time.Second
)

// leavingServer is a server that says that it leaves and serves on for some seconds.
type leavingServer struct {
	platformtest.Upstream
	record *record
	row    platformtest.UpstreamRow
	// deadline is the time in Unix nanoseconds from which it must get no request; 0 before it
	// leaves.
	deadline atomic.Int64
	late     atomic.Int64
	runs     atomic.Int64
}

// playForeign has another writer put an entry that lacks a field over that of a server that
// leaves.
func playForeign(p *platform, trouble bool) (int, error) {
	if err := p.addHosts(3, fleetBounds); err != nil {
		return failed, err
	}
	p.store.PutConfig(platformtest.Config{
		Version: 1,
		Routes: map[string]platformtest.Route{
			"bookings": {Host: "rail.example", PathPrefix: "/book/", Kind: platformtest.Unsafe, TimeoutMS: 12000, TargetLatencyMS: 1500, Priority: 1, Service: "ruteo", Attempts: 2},
		},
		Services: map[string]platformtest.Service{"ruteo": {HealthCheckPath: "/healthz", MaxConnections: 5400, WarmUpSeconds: 3, WarmUpRate: 10}},
		Limits:   platformtest.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 64 << 20, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
	})
	var servers []*leavingServer
	for i := range foreignServers {
		s, err := p.startLeavingServer(fmt.Sprintf("i-%02d", i), zones[i%len(zones)])
		if err != nil {
			return failed, err
		}
		servers = append(servers, s)
	}
	if err := p.startHosts(); err != nil {
		return failed, err
	}
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for i := range foreignClients {
		wait.Go(func() { bookOneAfterTheOther(p, i, stop) })
	}
	time.Sleep(5 * time.Second)
	servers[0].leave(p, trouble)
	close(stop)
	wait.Wait()
	late := servers[0].late.Load()
	p.record.printf("%s ran %d requests, %d of them more than %s after its leaving was acknowledged", servers[0].ID, servers[0].runs.Load(), late, fleetBounds.drain)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}

// startLeavingServer starts a server and registers it. As the pages have it, its entry has the
// start of its process.
func (p *platform) startLeavingServer(id string, z zone) (*leavingServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &leavingServer{
		Upstream: platformtest.Upstream{ID: id, Slots: 8}, record: p.record,
		row: platformtest.UpstreamRow{Service: "ruteo", Address: listener.Addr().String(), Zone: z.name, Capacity: 8, StartedAt: time.Now()},
	}
	go func() { _ = http.Serve(listener, s) }()
	p.store.PutUpstream(id, s.row)
	return s, nil
}

// leave says that the server leaves. With trouble, another writer then writes its entry as it was
// before, but without the start of the process. The server's next heartbeat writes its own again.
func (s *leavingServer) leave(p *platform, trouble bool) {
	s.row.Draining = true
	p.store.PutUpstream(s.ID, s.row)
	left := time.Now()
	s.deadline.Store(left.Add(fleetBounds.drain).UnixNano())
	s.record.printf("%s says that it leaves; acknowledged", s.ID)
	time.Sleep(foreignAfter)
	if trouble {
		p.store.PutForeign(s.ID, fmt.Appendf(nil, `{"service":"ruteo","address":%q,"zone":%q,"version":"v1","capacity":8,"state":"ready","warmup_left_ms":0,"sequence":7}`, s.row.Address, s.row.Zone))
		s.record.printf("another writer writes the entry of %s, without the field born", s.ID)
		time.Sleep(heartbeat)
		p.store.PutUpstream(s.ID, s.row)
		s.record.printf("%s writes its entry again: it leaves", s.ID)
	}
	time.Sleep(time.Until(left.Add(servesOn)))
}

// ServeHTTP runs one request.
func (s *leavingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // a request that breaks off isn't answered
	id, ok := s.Accept(w, r)
	if !ok {
		return
	}
	s.runs.Add(1)
	if at := s.deadline.Load(); at != 0 && time.Now().UnixNano() > at {
		s.late.Add(1)
		s.record.printf("LATE: %s reaches %s, which runs it, %s after the bound", id, s.ID, time.Since(time.Unix(0, at)).Round(time.Millisecond))
	}
	time.Sleep(foreignWork)
	s.Sign(w.Header(), 1)
	_, _ = io.WriteString(w, "answer to "+id)
}

// bookOneAfterTheOther sends requests on a kept connection until stop is closed.
func bookOneAfterTheOther(p *platform, client int, stop chan struct{}) {
	h := p.hosts[client%len(p.hosts)]
	c := &http.Client{Transport: &http.Transport{}, Timeout: 12 * time.Second}
	answered, others := 0, 0
	defer func() { p.record.printf("client %d: %d answered with success, %d not", client, answered, others) }()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		req, err := http.NewRequest(http.MethodPost, "http://"+h.clients+"/book/slot", http.NoBody)
		if err != nil {
			return
		}
		req.Host = "rail.example"
		platformtest.Request{ID: fmt.Sprintf("book-%d-%d", client, n), Key: fmt.Sprint((client*7 + n) % 60), Timeout: 12 * time.Second}.SetHeaders(req.Header)
		resp, err := c.Do(req)
		if err != nil {
			others++
			time.Sleep(100 * time.Millisecond)
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			answered++
		} else {
			others++
		}
		time.Sleep(20 * time.Millisecond)
	}
}
