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
	// slots is how many requests a server runs at the same time, and queue how many wait.
	slots = 3
	queue = 9
)

// server is a stand-in of an instance of the users' services.
type server struct {
	platformtest.Upstream
	record  *record
	address string
	region  string
	busy    chan struct{}
	waiting atomic.Int32
	// slowness multiplies the work of each request.
	slowness atomic.Int32
	ledger   *ledger
}

// ledger knows which requests ran at a server that was not slowed.
type ledger struct {
	mu    sync.Mutex
	sound map[string]bool
}

func (l *ledger) run(id string, sound bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sound[id] = sound
}

func (l *ledger) ranSoundly(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sound[id]
}

// startServer starts a server and registers it in the store.
func (p *platform) startServer(id, service string, z zone, l *ledger) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{Upstream: platformtest.Upstream{ID: id, Slots: slots}, record: p.record, address: listener.Addr().String(), region: z.region, busy: make(chan struct{}, slots), ledger: l}
	s.slowness.Store(1)
	go func() { _ = http.Serve(listener, s) }()
	p.store.PutUpstream(id, platformtest.UpstreamRow{Service: service, Address: s.address, Zone: z.name, Capacity: slots})
	return s, nil
}

// ServeHTTP runs one request. The work of uploads and of reads takes as long as the site file
// says.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	id, ok := s.Accept(w, r)
	if !ok {
		return
	}
	if int(s.waiting.Add(1)) > slots+queue {
		s.waiting.Add(-1)
		s.Refuse(w)
		return
	}
	defer s.waiting.Add(-1)
	select {
	case s.busy <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.busy }()
	s.ledger.run(id, s.slowness.Load() == 1)
	s.record.printf("run %s at %s, %d bytes", id, s.ID, n)
	work := readWork
	if r.Method == http.MethodPost {
		work = orderWork
	}
	select {
	case <-time.After(work * time.Duration(s.slowness.Load())):
	case <-r.Context().Done():
		return
	}
	s.Sign(w.Header(), int(s.waiting.Load()))
	_, _ = fmt.Fprintf(w, "answer to %s of %d bytes", id, n)
}
