package main

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"cairndock/platform/platformtest"
)

const (
	// uploadBytes is the size of a request's body, far below max_body_bytes.
	uploadBytes = 1 << 20
	// uploadWork is how long a server works on a request before it reads its body, and
	// uploadTimeout the timeout of the route and the deadline of the clients.
	uploadWork    = 2500 * time.Millisecond
	uploadTimeout = 4000 * time.Millisecond
	uploadCount   = 8
)

// work is what a server has seen of a request. Zero times have not come.
type work struct {
	began, ended time.Time
	outcome      string
}

// uploadServer is a sound server that works on a request before it reads its body.
type uploadServer struct {
	platformtest.Upstream
	r *record

	mu   sync.Mutex
	seen map[string]*work
}

func (s *uploadServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, ok := s.Accept(w, r)
	if !ok {
		return
	}
	began := time.Now()
	s.mu.Lock()
	s.seen[id] = &work{began: began}
	s.mu.Unlock()
	s.r.line("%s begins to work on request %s", s.ID, id)
	time.Sleep(uploadWork)
	body, err := io.ReadAll(r.Body)
	outcome := fmt.Sprintf("read its %d bytes and answers 200", len(body))
	if err != nil {
		outcome = fmt.Sprintf("could read only %d bytes of it (%v)", len(body), err)
	}
	s.mu.Lock()
	s.seen[id].ended, s.seen[id].outcome = time.Now(), outcome
	s.mu.Unlock()
	s.r.line("%s has worked on request %s: %s", s.ID, id, outcome)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.Sign(w.Header(), 1)
	sum := sha256.Sum256(body)
	_, _ = fmt.Fprintf(w, "%x", sum)
}

func (s *uploadServer) work(id string) work {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.seen[id]; w != nil {
		return *w
	}
	return work{}
}

// uploads: a planned stop, and requests with long bodies at servers that work before they read.
func uploads(dir string, trouble bool, r *record) (int, error) {
	store, address := platform()
	var servers []*uploadServer
	for i, zone := range []string{"gebze-a", "tuzla-b", "gebze-a", "tuzla-b"} {
		s := &uploadServer{Upstream: platformtest.Upstream{ID: fmt.Sprintf("i-%d", i+1), Slots: 8}, r: r, seen: map[string]*work{}}
		servers = append(servers, s)
		store.PutUpstream(s.ID, platformtest.UpstreamRow{Service: "formul", Address: serve(s), Zone: zone, Capacity: 8, StartedAt: time.Now()})
	}
	store.PutConfig(platformtest.Config{
		Version:  1,
		Routes:   map[string]platformtest.Route{"r-order": {Host: "shop.example", PathPrefix: "/orders/", Kind: platformtest.Unsafe, TimeoutMS: int(uploadTimeout.Milliseconds()), TargetLatencyMS: 3000, Priority: 1, Service: "formul", Attempts: 2}},
		Services: map[string]platformtest.Service{"formul": {HealthCheckPath: "/healthz", MaxConnections: 330, WarmUpSeconds: 3, WarmUpRate: 3.5}},
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
	time.Sleep(6 * time.Second) // longer than touch_ms: all machines are in touch

	h := hosts[0]
	sent := make([]time.Time, uploadCount)
	type answer struct {
		at     time.Time
		text   string
		own    bool // made by the system, or none
		status int
	}
	answers := make([]answer, uploadCount)
	var wait sync.WaitGroup
	for i := range uploadCount {
		id := fmt.Sprintf("%016x", 0xa000+i)
		wait.Go(func() {
			body := bytes.Repeat([]byte{byte('a' + i)}, uploadBytes)
			req, _ := http.NewRequest(http.MethodPost, "http://"+h.callers+"/orders/1", bytes.NewReader(body))
			req.Host = "shop.example"
			platformtest.Request{ID: id, Timeout: uploadTimeout}.SetHeaders(req.Header)
			sent[i] = time.Now()
			r.line("client sends request %s with %d bytes to %s", id, len(body), h.name)
			c := http.Client{Transport: &http.Transport{}, Timeout: uploadTimeout}
			resp, err := c.Do(req)
			if err != nil {
				answers[i] = answer{at: time.Now(), text: err.Error(), own: true}
				r.line("client of request %s: %v", id, err)
				return
			}
			text, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			_, signer := platformtest.ReadNotice(resp.Header)
			answers[i] = answer{at: time.Now(), status: resp.StatusCode, own: signer == "" || err != nil}
			if want := fmt.Sprintf("%x", sha256.Sum256(body)); resp.StatusCode == http.StatusOK && string(text) != want {
				answers[i].text = "a wrong body"
			}
			r.line("client of request %s gets %d, signed by %q, error %v, after %.3f s", id, resp.StatusCode, signer, err, time.Since(sent[i]).Seconds())
		})
	}
	time.Sleep(300 * time.Millisecond)
	var stopped time.Time
	if trouble {
		stopped = time.Now()
		r.line("SIGTERM to %s", h.name)
		h.signal(syscall.SIGTERM)
	}
	wait.Wait()
	time.Sleep(uploadWork) // servers finish what they work on
	lost := 0
	for i := range uploadCount {
		id := fmt.Sprintf("%016x", 0xa000+i)
		a := answers[i]
		if !a.own {
			continue
		}
		for _, s := range servers {
			w := s.work(id)
			if w.began.IsZero() || w.began.After(a.at) || !w.ended.IsZero() && w.ended.Before(a.at) {
				continue
			}
			why := "LOST: "
			switch {
			case stopped.IsZero():
				why = "not counted, no planned work: "
			case a.at.Sub(sent[i]) > uploadTimeout-100*time.Millisecond:
				why = "not counted, its time was over: "
			case a.at.Sub(stopped) > grace*5/6:
				why = "not counted, in the last sixth of the grace period: "
			default:
				lost++
			}
			r.line("%srequest %s was ended with %d %.3f s after it was sent, while %s was at work on it", why, id, a.status, a.at.Sub(sent[i]).Seconds(), s.ID)
		}
	}
	if trouble {
		select {
		case <-h.ended:
			r.line("%s has ended %.3f s after the SIGTERM", h.name, time.Since(stopped).Seconds())
		case <-time.After(grace):
		}
	}
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}
