package standin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/selector/call"
	"cairndock/internal/verdict"
)

// upstreamHeaderTimeout limits reading the headers of a request to an upstream.
const upstreamHeaderTimeout = 10 * time.Second

// Faults are the faults that an Upstream simulates.
type Faults struct {
	// Shed refuses every request without running it.
	Shed bool
	// Truncate closes the connection after half of the response.
	Truncate bool
	// DropBefore closes the connection before the request runs. DropAfter closes
	// it after the request ran and before any response.
	DropBefore bool
	DropAfter  bool
	// Delay is added to the latency of every request.
	Delay time.Duration
	// ReportLoad, if not nil, is the load that the upstream reports instead of
	// its actual load.
	ReportLoad *float64
}

// Upstream is a stand-in upstream that records the requests that it runs.
type Upstream struct {
	// Name is the upstream's name in the configuration.
	Name string
	// Instance is the incarnation that the upstream reports.
	Instance string
	// Slots is the number of requests that the upstream can run concurrently.
	// Further requests run too, and are counted in Ledger.Over.
	Slots int
	// Latency is the time that a request takes. The first ColdRuns requests
	// take ColdFactor times as long.
	Latency    time.Duration
	ColdRuns   int
	ColdFactor int

	mu sync.Mutex
	// terminatesOn, if not nil, reports whether running a request for a target
	// terminates the upstream.
	terminatesOn func(target string) bool
	faults       Faults
	leaving      bool
	ledger       Ledger
	byTicket     map[string]int // runs by ticket
	server       *http.Server
}

// Start serves on a free loopback port until Close and returns the address. It
// fails if it can't listen.
func (u *Upstream) Start() (addr string, err error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", eris.Wrap(err, "listen")
	}
	// Serve returns after Close. A loopback listener does not fail earlier.
	go func() { _ = u.Serve(l) }()
	return l.Addr().String(), nil
}

// Serve serves a listener until Close. It always returns an error, which is
// http.ErrServerClosed after Close.
func (u *Upstream) Serve(l net.Listener) error {
	u.mu.Lock()
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: upstreamHeaderTimeout}
	s := u.server
	u.mu.Unlock()
	return s.Serve(l)
}

// Close closes the upstream immediately, as a crash would.
func (u *Upstream) Close() error {
	u.mu.Lock()
	s := u.server
	u.mu.Unlock()
	if s == nil {
		return nil
	}
	return s.Close()
}

// SetFaults replaces the simulated faults.
func (u *Upstream) SetFaults(f Faults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
}

// TerminateOn sets a function that reports, for the target of each request, whether
// running the request terminates the upstream.
func (u *Upstream) TerminateOn(f func(target string) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.terminatesOn = f
}

// shouldTerminate reports whether running a request for a target terminates the
// upstream.
func (u *Upstream) shouldTerminate(target string) bool {
	u.mu.Lock()
	f := u.terminatesOn
	u.mu.Unlock()
	return f != nil && f(target)
}

// Drain makes the upstream report that it is leaving.
func (u *Upstream) Drain() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = true
}

// Ledger is the record of an upstream's requests. It is served as JSON at
// /ledger.
type Ledger struct {
	Name string `json:"name"`
	// Runs counts requests that started to run.
	Runs int `json:"runs"`
	// Outstanding is the number of requests that are running.
	Outstanding int `json:"outstanding"`
	// MaxOutstanding is the highest value of Outstanding so far.
	MaxOutstanding int `json:"max_outstanding"`
	// Over counts requests that started while all slots were in use.
	Over int `json:"over"`
	// LastNew is the time at which the last request started to run.
	LastNew time.Time `json:"last_new"`
}

// Ledger returns a copy of the current record.
func (u *Upstream) Ledger() Ledger {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := u.ledger
	out.Name = u.Name
	return out
}

// Runs returns the number of times that a ticket's request ran.
func (u *Upstream) Runs(ticket string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.byTicket[ticket]
}

// ServeHTTP serves the ledger, the health check and the service itself.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/ledger":
		u.serveLedger(w, r)
	case "/healthz":
		u.setStatus(w)
	default:
		u.serve(w, r)
	}
}

// serveLedger serves the ledger, the runs of all tickets, or the runs of one
// ticket.
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

// setStatus sets the headers that report the upstream's instance, load and state.
func (u *Upstream) setStatus(w http.ResponseWriter) {
	u.mu.Lock()
	defer u.mu.Unlock()
	load := float64(u.ledger.Outstanding) / float64(max(1, u.Slots))
	if u.faults.ReportLoad != nil {
		load = *u.faults.ReportLoad
	}
	w.Header().Set(call.HeaderInstance, u.Instance)
	w.Header().Set(call.HeaderLoad, strconv.FormatFloat(load, 'f', 3, 64))
	if u.leaving {
		w.Header().Set(call.HeaderState, call.StateLeaving)
	}
}

// begin records the start of a request, and returns the faults and the latency
// that apply to it.
func (u *Upstream) begin(ticket string) (Faults, time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ledger.Runs++
	u.ledger.Outstanding++
	u.ledger.MaxOutstanding = max(u.ledger.MaxOutstanding, u.ledger.Outstanding)
	if u.ledger.Outstanding > u.Slots {
		u.ledger.Over++
	}
	u.ledger.LastNew = time.Now()
	if ticket != "" {
		if u.byTicket == nil {
			u.byTicket = map[string]int{}
		}
		u.byTicket[ticket]++
	}
	latency := u.Latency
	if u.ledger.Runs <= u.ColdRuns {
		latency *= time.Duration(max(1, u.ColdFactor))
	}
	return u.faults, latency + u.faults.Delay
}

// end records the end of a request.
func (u *Upstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ledger.Outstanding--
}

// serve runs a request, unless it is refused or dropped.
func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	f := u.faults
	u.mu.Unlock()
	if f.DropBefore {
		panic(http.ErrAbortHandler)
	}
	u.setStatus(w)
	if f.Shed || timeLeft(r) <= -time.Millisecond { // deadlines have a precision of 1 ms
		w.Header().Set(call.HeaderShed, verdict.NotRun.String())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f, latency := u.begin(r.Header.Get(call.HeaderTicket))
	defer u.end()
	if u.shouldTerminate(r.RequestURI) {
		_ = u.Close() // an error does not matter, because the upstream terminates
		panic(http.ErrAbortHandler)
	}
	if !sleep(r, latency) {
		return
	}
	if f.DropAfter {
		panic(http.ErrAbortHandler)
	}
	u.respond(w, r, body, f)
}
