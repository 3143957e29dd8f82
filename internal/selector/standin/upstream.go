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

// Faults are what an Upstream does wrong.
type Faults struct {
	// Shed refuses every request without running it.
	Shed bool
	// Truncate breaks off the response half-way.
	Truncate bool
	// DropBefore closes the connection before the request runs, DropAfter
	// after it ran and before any response.
	DropBefore bool
	DropAfter  bool
	// Delay is added to every response.
	Delay time.Duration
	// ReportLoad, if not nil, is the load that it reports instead of its own.
	ReportLoad *float64
}

// Upstream is an upstream that counts what it runs.
type Upstream struct {
	Name string
	// Instance is its incarnation.
	Instance string
	// Slots is how many requests it can run at a time. More are run too, and
	// counted in Ledger.Over.
	Slots int
	// Latency is the time of a request once the first ColdRuns requests have
	// run; those take ColdFactor times as long.
	Latency    time.Duration
	ColdRuns   int
	ColdFactor int

	mu sync.Mutex
	// ends, if it is set, is asked for the target of each request whether the upstream
	// ends by running it.
	ends     func(target string) bool
	faults   Faults
	leaving  bool
	ledger   Ledger
	byTicket map[string]int
	server   *http.Server
}

// Start serves at a free port of loopback until Close, and returns the address.
func (u *Upstream) Start() (addr string, err error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", eris.Wrap(err, "listen")
	}
	// Serve ends with Close; a loopback listener does not fail before.
	go func() { _ = u.Serve(l) }()
	return l.Addr().String(), nil
}

// Serve serves a listener until Close.
func (u *Upstream) Serve(l net.Listener) error {
	u.mu.Lock()
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: upstreamHeaderTimeout}
	s := u.server
	u.mu.Unlock()
	return s.Serve(l)
}

// Close ends it at once, as a crash would.
func (u *Upstream) Close() error {
	u.mu.Lock()
	s := u.server
	u.mu.Unlock()
	if s == nil {
		return nil
	}
	return s.Close()
}

// SetFaults replaces what goes wrong.
func (u *Upstream) SetFaults(f Faults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
}

// EndBy has f asked, for the target of each request, whether the upstream ends by running
// it.
func (u *Upstream) EndBy(f func(target string) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ends = f
}

// endsBy reports whether the upstream ends by running a request for a target.
func (u *Upstream) endsBy(target string) bool {
	u.mu.Lock()
	f := u.ends
	u.mu.Unlock()
	return f != nil && f(target)
}

// Drain makes the upstream report that it is leaving.
func (u *Upstream) Drain() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = true
}

// Ledger is the record of an upstream, also as JSON at /ledger.
type Ledger struct {
	Name string `json:"name"`
	// Runs counts requests that began to run.
	Runs int `json:"runs"`
	// Outstanding is how many run now.
	Outstanding int `json:"outstanding"`
	// MaxOutstanding is the most that ever ran at a time.
	MaxOutstanding int `json:"max_outstanding"`
	// Over counts requests that began while all slots were in use.
	Over int `json:"over"`
	// LastNew is when the last request began to run.
	LastNew time.Time `json:"last_new"`
}

// Ledger returns the record until now.
func (u *Upstream) Ledger() Ledger {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := u.ledger
	out.Name = u.Name
	return out
}

// Runs returns how often a ticket's request ran.
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
		u.setStatus(w)
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

// setStatus sets the headers in which an upstream reports its status.
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

// begin counts a run, and returns the faults and the latency that apply to it.
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

func (u *Upstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ledger.Outstanding--
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	f := u.faults
	u.mu.Unlock()
	if f.DropBefore {
		panic(http.ErrAbortHandler)
	}
	u.setStatus(w)
	if f.Shed || timeLeft(r) <= -time.Millisecond { // deadlines count whole milliseconds
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
	if u.endsBy(r.RequestURI) {
		_ = u.Close() // it has ended
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
