package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cairndock/cmd"
	"cairndock/internal/gateway/soak/report"
	"cairndock/platform/platformtest"
)

// TestMain is also the gateway process itself.
func TestMain(m *testing.M) {
	if os.Getenv(childVar) != "" {
		os.Exit(cmd.Run())
	}
	os.Exit(m.Run())
}

const (
	hostname = "soak.example"
	// oncePrefix marks requests that may not be repeated.
	oncePrefix = "once-"
	applyIn    = 2 * time.Second
	drainIn    = 2 * time.Second
	evacuateIn = 2 * time.Second
	// slackIn allows for a loaded machine where a bound is measured from
	// outside.
	slackIn = 700 * time.Millisecond
	clients = 12
)

// world is one run.
type world struct {
	t      *testing.T
	seed   uint64
	rand   *rand.Rand
	record *report.Recorder
	store  *platformtest.Store
	server *httptest.Server
	hosts  []*host
	ledger *ledger

	mu        sync.Mutex
	upstreams map[string]*upstream
	order     []string
	next      int
	version   int
	ackedAt   map[int]time.Time
	// storeHarms counts the store's faults, and storeHarm is when the last
	// one ended.
	storeHarms int
	storeHarm  time.Time
	evacuated  map[string]bool
	breaches   []string
	// told is what callers were told of requests that may not be repeated.
	promised map[string]string
	served   int
	failed   int
}

func (w *world) breach(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breaches = append(w.breaches, fmt.Sprintf(format, args...))
}

func newWorld(t *testing.T, seed uint64, hosts int) *world {
	t.Helper()
	w := &world{
		t: t, seed: seed, record: report.New(fmt.Sprintf("Fault soak, seed %d, %d hosts", seed, hosts)), rand: rand.New(rand.NewPCG(seed, seed)), store: platformtest.New(), ledger: &ledger{runs: map[string]int{}},
		upstreams: map[string]*upstream{}, ackedAt: map[int]time.Time{}, evacuated: map[string]bool{}, promised: map[string]string{},
	}
	w.server = httptest.NewServer(w.store)
	t.Cleanup(w.server.Close)
	t.Cleanup(func() { w.store.SetFaults(platformtest.Faults{}) })
	w.configure()
	zones := [][2]string{{"west-1", "west"}, {"west-2", "west"}, {"east-1", "east"}}
	for i := range 9 {
		w.addUpstream(zones[i%3][0])
	}
	for i := range hosts {
		z := zones[i%3]
		h := newHost(t, w.breach, fmt.Sprint("host-", i), z[0], z[1], strings.TrimPrefix(w.server.URL, "http://"))
		h.start()
		w.hosts = append(w.hosts, h)
		t.Cleanup(h.end)
	}
	return w
}

// configure writes the next version of the configuration: it has a route for
// each version so far, so that a host's version can be asked from outside.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	routes := map[string]any{}
	add := func(name, prefix, kind string) {
		routes[name] = map[string]any{
			"host": hostname, "path_prefix": prefix, "kind": kind, "timeout_ms": 1500, "target_latency_ms": 300,
			"priority": 1, "service": "work", "attempts": 2, "sticky": true,
		}
	}
	add("safe", "/safe/", "safe")
	add("once", "/once/", "unsafe")
	for v := 1; v <= w.version; v++ {
		add(fmt.Sprint("v", v), fmt.Sprintf("/v%d/", v), "safe")
	}
	w.store.Put("op", "config", map[string]any{
		"version": fmt.Sprint("r", w.version), "routes": routes,
		"services": map[string]any{"work": map[string]any{"health_check_path": "/healthz", "max_connections": 300, "warmup_s": 1.0, "warmup_per_s": 20.0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	w.ackedAt[w.version] = time.Now()
}

func (w *world) addUpstream(zone string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	id := fmt.Sprint("i-", w.next)
	u := newUpstream(w.t, id, zone, w.ledger, w.lateWork)
	w.upstreams[id] = u
	w.order = append(w.order, id)
	w.store.Put("servers", id, u.row("ready"))
}

// lateWork is told of work that came after an upstream had left.
func (w *world) lateWork(id, request string) {
	if w.calmEverywhere() {
		w.breach("drain: %s got %s too late", id, request)
	}
}

// storeCalm reports whether the store was undisturbed lately; w.mu is held.
func (w *world) storeCalm() bool { return w.storeHarms == 0 && time.Since(w.storeHarm) > touch }

func (w *world) calmEverywhere() bool {
	w.mu.Lock()
	calm := w.storeCalm()
	w.mu.Unlock()
	for _, h := range w.hosts {
		calm = calm && h.calm()
	}
	return calm
}

// anyUpstream picks one of the living, the oldest first in the order.
func (w *world) anyUpstream() *upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.upstreams[w.order[w.rand.IntN(len(w.order))]]
}

// remove takes an upstream out of the living.
func (w *world) remove(u *upstream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.upstreams, u.id)
	w.order = slices.DeleteFunc(w.order, func(id string) bool { return id == u.id })
}

// client sends requests until the context ends: half of them may not be
// repeated. It keeps connections open until they break.
func (w *world) client(ctx context.Context, number int) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, ResponseHeaderTimeout: 4 * time.Second}
	defer transport.CloseIdleConnections()
	c := &http.Client{Transport: transport, Timeout: 5 * time.Second}
	r := rand.New(rand.NewPCG(w.seed, uint64(number)))
	addresses := w.resolve(ctx, c, r)
	for n := 0; ctx.Err() == nil; n++ {
		if n%10 == 0 || len(addresses) == 0 {
			addresses = w.resolve(ctx, c, r)
		}
		if len(addresses) == 0 {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		id := fmt.Sprintf("safe-%d-%d", number, n)
		if r.IntN(2) == 0 {
			id = fmt.Sprintf("%s%d-%d", oncePrefix, number, n)
		}
		w.request(c, addresses[r.IntN(len(addresses))], id, r)
		time.Sleep(time.Duration(r.IntN(15)) * time.Millisecond)
	}
}

func (w *world) resolve(ctx context.Context, c *http.Client, r *rand.Rand) []string {
	h := w.hosts[r.IntN(len(w.hosts))]
	ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancel()
	q := url.Values{"name": {hostname}, "zone": {h.zone}, "region": {strings.Split(h.zone, "-")[0]}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.directory+"/-/resolve?"+q.Encode(), nil)
	if err != nil {
		return nil
	}
	resp, err := c.Do(req)
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var out struct {
		Addresses []string `json:"addresses"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&out)
	return out.Addresses
}

// request sends one request and holds the answer against the promises.
func (w *world) request(c *http.Client, address, id string, r *rand.Rand) {
	method, path := http.MethodGet, "/safe/x"
	once := strings.HasPrefix(id, oncePrefix)
	if once {
		method, path = http.MethodPost, "/once/x"
	}
	// No body on GET: net/http repeats a request by itself only when it has
	// none and the method allows it, and a repeat there may run again.
	var payload io.Reader
	if once {
		payload = strings.NewReader("payload of " + id)
	}
	req, err := http.NewRequest(method, "http://"+address+path, payload)
	if err != nil {
		return
	}
	req.Host = hostname
	req.GetBody = nil
	req.Header.Set("X-Cairndock-Request-Id", id)
	req.Header.Set("X-Cairndock-Affinity-Key", strconv.Itoa(r.IntN(40)))
	req.Header.Set("X-Cairndock-Deadline-Ms", "2000")
	began := time.Now()
	resp, err := c.Do(req)
	if err != nil {
		w.count(began, report.Failed)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	w.count(began, outcomeOf(resp.StatusCode, err))
	switch {
	case err != nil:
	case resp.StatusCode == http.StatusOK && string(text) != body(id):
		w.breach("mixed: %s got %.60q", id, text)
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		if once {
			w.promise(id, address)
		}
	case resp.StatusCode == http.StatusNotFound:
		w.breach("denied: %s got 404 for %s at %s", id, path, address)
	}
}

func outcomeOf(status int, err error) report.Outcome {
	switch {
	case err == nil && status == http.StatusOK:
		return report.Served
	case err == nil && status == http.StatusServiceUnavailable:
		return report.Refused
	default:
		return report.Failed
	}
}

func (w *world) count(began time.Time, o report.Outcome) {
	w.record.Request(began, time.Since(began), o)
	w.mu.Lock()
	defer w.mu.Unlock()
	if o == report.Served {
		w.served++
	} else {
		w.failed++
	}
}

func (w *world) promise(id, address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.promised[id] = address
}

// watchVersions asks each host which versions it has in force: never an
// older one than before in one life, and each soon after it was accepted.
func (w *world) watchVersions(ctx context.Context, h *host) {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	life, highest := 0, 0
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(60 * time.Millisecond)
		w.mu.Lock()
		newest := w.version
		w.mu.Unlock()
		if now := h.lifeNumber(); now != life {
			life, highest = now, 0
		}
		ask := max(highest, newest-n%2, 1) // there is no version 0
		w.mu.Lock()
		acked := w.ackedAt[ask]
		storeCalm := w.storeCalm()
		w.mu.Unlock()
		due := storeCalm && h.calm() && time.Since(acked) > applyIn+slackIn
		status := w.probe(c, h, ask)
		same := h.lifeNumber() == life
		switch {
		case status == http.StatusNotFound && same && ask <= highest:
			w.breach("config: %s went back behind version %d", h.name, highest)
		case status == http.StatusNotFound && due && same && h.calm():
			w.breach("config: %s lacks version %d %s after it was accepted", h.name, ask, time.Since(acked))
		case status != 0 && status != http.StatusNotFound && status != http.StatusServiceUnavailable && same:
			highest = max(highest, ask)
		}
	}
}

func (w *world) probe(c *http.Client, h *host, version int) int {
	req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/v%d/x", h.callers, version), nil)
	if err != nil {
		return 0
	}
	req.Host = hostname
	req.Header.Set("X-Cairndock-Request-Id", fmt.Sprintf("probe-%s-%d-%d", h.name, version, rand.Int64()))
	req.Header.Set("X-Cairndock-Deadline-Ms", "900")
	resp, err := c.Do(req)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// settle holds what callers were told against the ledger.
func (w *world) settle() {
	w.mu.Lock()
	promised := w.promised
	w.mu.Unlock()
	for id, address := range promised {
		if n := w.ledger.count(id); n > 0 {
			w.breach("refused: %s was told at %s that it had not run, and ran %d times", id, address, n)
		}
	}
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	for id, n := range w.ledger.runs {
		if n > 1 && strings.HasPrefix(id, oncePrefix) {
			w.breach("twice: %s ran %d times", id, n)
		}
	}
}
