// Package standin holds small stand-ins for what surrounds the system: the
// upstreams and the platform. They serve the quick start and the tests.
package standin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"cairndock/internal/call"
)

// Faults are what a stand-in upstream does wrong.
type Faults struct {
	// Shed refuses every request without running it.
	Shed bool
	// Truncate breaks off the answer half-way.
	Truncate bool
	// DropBefore closes the connection before the request runs, DropAfter
	// after it ran and before any answer.
	DropBefore bool
	DropAfter  bool
	// Delay is added to every answer.
	Delay time.Duration
	// ReportLoad, when not nil, is what the load report claims.
	ReportLoad *float64
}

// Upstream is a stand-in upstream that counts what it ran.
type Upstream struct {
	// Name and Instance identify it; Slots is what it can carry.
	Name     string
	Instance string
	Slots    int
	// Latency is a warm request's time; the first ColdRuns requests take
	// ColdFactor times as long.
	Latency    time.Duration
	ColdRuns   int
	ColdFactor int

	mu       sync.Mutex
	faults   Faults
	leaving  bool
	out      int
	maxOut   int
	over     int
	runs     int
	byTicket map[string]int
	lastNew  time.Time
	server   *http.Server
}

// Serve serves on a listener until Close.
func (u *Upstream) Serve(l net.Listener) error {
	u.mu.Lock()
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: 10 * time.Second}
	s := u.server
	u.mu.Unlock()
	return s.Serve(l)
}

// Close stops it at once, as a crash would.
func (u *Upstream) Close() error {
	u.mu.Lock()
	s := u.server
	u.mu.Unlock()
	if s == nil {
		return nil
	}
	return s.Close()
}

// SetFaults changes what goes wrong.
func (u *Upstream) SetFaults(f Faults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
}

// Drain makes the upstream say that it is leaving.
func (u *Upstream) Drain() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = true
}

// Ledger is what an upstream has seen.
type Ledger struct {
	Name string `json:"name"`
	// Runs counts requests that began to run.
	Runs int `json:"runs"`
	// Outstanding is how many run now, MaxOutstanding the most ever.
	Outstanding    int `json:"outstanding"`
	MaxOutstanding int `json:"max_outstanding"`
	// Over counts requests that began when all slots were in use.
	Over int `json:"over"`
	// LastNew is when the last request began.
	LastNew time.Time `json:"last_new"`
}

// Ledger gives what the upstream has seen.
func (u *Upstream) Ledger() Ledger {
	u.mu.Lock()
	defer u.mu.Unlock()
	return Ledger{Name: u.Name, Runs: u.runs, Outstanding: u.out, MaxOutstanding: u.maxOut, Over: u.over, LastNew: u.lastNew}
}

// Runs gives how often a ticket's request ran.
func (u *Upstream) Runs(ticket string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.byTicket[ticket]
}

// ServeHTTP serves the ledger, health and the service itself.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/ledger":
		u.serveLedger(w, r)
	case "/healthz":
		u.setWord(w)
	default:
		u.serve(w, r)
	}
}

func (u *Upstream) serveLedger(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if r.URL.Query().Has("tickets") {
		u.mu.Lock()
		defer u.mu.Unlock()
		_ = json.NewEncoder(w).Encode(u.byTicket)
		return
	}
	ticket := r.URL.Query().Get("ticket")
	if ticket == "" {
		_ = json.NewEncoder(w).Encode(u.Ledger())
		return
	}
	_ = json.NewEncoder(w).Encode(struct {
		Runs int `json:"runs"`
	}{u.Runs(ticket)})
}

func (u *Upstream) setWord(w http.ResponseWriter) {
	u.mu.Lock()
	defer u.mu.Unlock()
	load := float64(u.out) / float64(max(1, u.Slots))
	if u.faults.ReportLoad != nil {
		load = *u.faults.ReportLoad
	}
	w.Header().Set(call.HeaderInstance, u.Instance)
	w.Header().Set("Cairndock-Load", strconv.FormatFloat(load, 'f', 3, 64))
	if u.leaving {
		w.Header().Set(call.HeaderState, call.StateLeaving)
	}
}

// begin counts a run and gives the faults and latency it meets.
func (u *Upstream) begin(ticket string) (Faults, time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs++
	u.out++
	u.maxOut = max(u.maxOut, u.out)
	if u.out > u.Slots {
		u.over++
	}
	u.lastNew = time.Now()
	if ticket != "" {
		if u.byTicket == nil {
			u.byTicket = map[string]int{}
		}
		u.byTicket[ticket]++
	}
	latency := u.Latency
	if u.runs <= u.ColdRuns {
		latency *= time.Duration(max(1, u.ColdFactor))
	}
	return u.faults, latency + u.faults.Delay
}

func (u *Upstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.out--
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	f := u.faults
	u.mu.Unlock()
	if f.DropBefore {
		panic(http.ErrAbortHandler)
	}
	u.setWord(w)
	if f.Shed || expired(r) {
		w.Header().Set(call.HeaderShed, "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f, latency := u.begin(r.Header.Get(call.HeaderTicket))
	defer u.end()
	if !sleep(r, latency) {
		return
	}
	if f.DropAfter {
		panic(http.ErrAbortHandler)
	}
	u.answer(w, r, body, f)
}

// expired reports whether the request came after its deadline.
func expired(r *http.Request) bool {
	ms, err := strconv.ParseInt(r.Header.Get(call.HeaderDeadline), 10, 64)
	return err == nil && time.Now().UnixMilli() > ms
}

// sleep waits, or reports that the request was cancelled or its deadline
// passed: an upstream accepts both.
func sleep(r *http.Request, d time.Duration) bool {
	if ms, err := strconv.ParseInt(r.Header.Get(call.HeaderDeadline), 10, 64); err == nil {
		left := time.Until(time.UnixMilli(ms))
		if left < d {
			_ = wait(r, left)
			return false
		}
	}
	return wait(r, d)
}

func wait(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// answer sends /bytes/N as N bytes, and an echo of anything else.
func (u *Upstream) answer(w http.ResponseWriter, r *http.Request, body []byte, f Faults) {
	if n, ok := strings.CutPrefix(r.URL.Path, "/bytes/"); ok {
		size, _ := strconv.ParseInt(n, 10, 64)
		u.sendBytes(w, r, size, f)
		return
	}
	out, _ := json.Marshal(struct {
		Upstream string `json:"upstream"`
		Method   string `json:"method"`
		Path     string `json:"path"`
		Body     string `json:"body,omitempty"`
	}{u.Name, r.Method, r.URL.RequestURI(), string(body)})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	if f.Truncate {
		_, _ = w.Write(out[:len(out)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(out)
}

func (u *Upstream) sendBytes(w http.ResponseWriter, r *http.Request, size int64, f Faults) {
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	if f.Truncate {
		size /= 2
	}
	chunk := make([]byte, 16<<10)
	for i := range chunk {
		chunk[i] = byte('a' + i%26)
	}
	for size > 0 && r.Context().Err() == nil {
		n, err := w.Write(chunk[:min(size, int64(len(chunk)))])
		if err != nil {
			return
		}
		size -= int64(n)
	}
	if f.Truncate {
		panic(http.ErrAbortHandler)
	}
}
