package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cairndock/platform/platformtest"
)

const (
	// hostname is the host name of all routes.
	hostname = "soak.example"
	// service is the only service.
	service = "work"
	// upstreams is the number of upstreams at the start of a run.
	upstreams = 9
	// minUpstreams is the number of running upstreams below which no fault removes one.
	minUpstreams = 6
	// warmUpTime is how long an upstream is cold, and warmUpRate its maximum rate in
	// this time, in requests per second. The rate is low enough that two successive
	// processes of each host exceed it together if each uses the host's full share.
	warmUpTime = time.Second
	warmUpRate = 6
	// directoryClients is the number of clients that send requests to the hosts in the
	// directory.
	directoryClients = 12
	// persistentClientsPerHost is the number of clients for each host that keep to their
	// connection.
	persistentClientsPerHost = 8
	// longIdleLimit is the initial idle limit of clients. It is long enough for
	// connections to be idle when a stopping host closes idle connections.
	longIdleLimit = 4 * time.Second
)

// zones are the zones of hosts and upstreams.
var zones = []zone{{"west-1", "west"}, {"west-2", "west"}, {"east-1", "east"}}

type zone struct{ name, region string }

// world is the state of one run.
type world struct {
	t      *testing.T
	seed   uint64
	record *recorder
	store  *platformtest.Store
	server *httptest.Server
	// hasSecondService is set if the configuration has secondService.
	hasSecondService bool
	// writes knows which host last wrote to the store.
	writes *writeLog
	hosts  []*host
	ledger *ledger

	storeDisruptions disruptions
	// evacuating is held during the evacuation of a zone, and restoring during a restore
	// of the store from a copy.
	evacuating, restoring sync.Mutex

	mu sync.Mutex
	// rand is the seeded source of all faults.
	rand *rand.Rand
	// alive holds the upstreams that no fault has removed, oldest first.
	alive []*upstream
	// everyUpstream holds all upstreams that ever ran.
	everyUpstream []*upstream
	// lastUpstream is the number of the newest upstream.
	lastUpstream int
	// version is that of the newest configuration, and acceptedAt the time at which the
	// store accepted each version.
	version    int
	acceptedAt map[int]time.Time
	// idleLimits holds the clients' idle limits so far, the newest last.
	idleLimits []idleLimit
	violations []string
	// notRun holds the requests that a host refused as not run: the host's address by
	// the request's ID.
	notRun map[string]string
	// requestsSent holds the times at which clients sent requests.
	requestsSent []time.Time
	// closedRequests holds the requests whose connection was closed without a response.
	closedRequests []closedRequest
	// notices records the notices in upstreams' responses.
	notices *noticeLog
	// limitedSent is the time at which each request of the limited account was sent, by
	// its ID.
	limitedSent map[string]time.Time
}

func newWorld(t *testing.T, seed uint64, hosts int) *world {
	t.Helper()
	w := &world{
		t: t, seed: seed, rand: rand.New(rand.NewPCG(seed, seed)),
		record: newRecorder(fmt.Sprintf("Fault soak, seed %d, %d hosts", seed, hosts)),
		store:  platformtest.NewStore(), ledger: newLedger(),
		acceptedAt: map[int]time.Time{}, notRun: map[string]string{}, notices: newNoticeLog(), limitedSent: map[string]time.Time{}, idleLimits: []idleLimit{{time.Now(), longIdleLimit}},
	}
	w.writes = &writeLog{store: w.store}
	w.server = httptest.NewServer(w.writes)
	t.Cleanup(w.server.Close)
	t.Cleanup(func() { w.store.SetFaults(platformtest.Faults{}) })
	w.configure()
	for i := range upstreams {
		w.addUpstream(zones[i%len(zones)].name)
	}
	for i := range hosts {
		h := newHost(t, w.violation, fmt.Sprint("host-", i), zones[i%len(zones)], strings.TrimPrefix(w.server.URL, "http://"))
		w.hosts = append(w.hosts, h)
	}
	w.balanceByVariables()
	return w
}

// timedHosts is the number of hosts in runs that measure times.
const timedHosts = 9

// timedMu is held by the test that runs timedHosts hosts. Several such tests at the same
// time, under the race detector, would leave too little CPU time for tests that measure
// times.
var timedMu sync.Mutex

// newTimedWorld returns a world of timedHosts hosts. It waits until no other such test
// runs.
func newTimedWorld(t *testing.T, seed uint64) *world {
	t.Helper()
	timedMu.Lock()
	t.Cleanup(timedMu.Unlock) // runs after the world's cleanups, which end its hosts
	w := newWorld(t, seed, timedHosts)
	w.logStalls()
	return w
}

// violation records that a guarantee does not hold.
func (w *world) violation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// recordRequest records that a client sends a request now.
func (w *world) recordRequest() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requestsSent = append(w.requestsSent, time.Now())
}

// configure writes the next version of the configuration. Each version has a route for
// itself and each earlier one, so that probes show which version a host uses.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	routes := map[string]platformtest.Route{
		"safe": route("/safe/", platformtest.Safe),
		"once": route("/once/", platformtest.Unsafe),
	}
	settings := platformtest.Service{HealthCheckPath: "/healthz", MaxConnections: 300, WarmUpSeconds: warmUpTime.Seconds(), WarmUpRate: warmUpRate}
	services := map[string]platformtest.Service{service: settings}
	if w.hasSecondService {
		services[secondService] = settings
		second := route("/second/", platformtest.Safe)
		second.Service = secondService
		routes["second"] = second
	}
	for v := 1; v <= w.version; v++ {
		routes[fmt.Sprint("v", v)] = route(fmt.Sprintf("/v%d/", v), platformtest.Safe)
	}
	w.store.PutConfig(platformtest.Config{
		Version: w.version, Routes: routes,
		Services: services,
		Accounts: accountsOf(w.version),
		Limits:   platformtest.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderTimeoutMS: 3000, IdleTimeoutMS: int(w.idleLimits[len(w.idleLimits)-1].limit.Milliseconds())},
	})
	w.acceptedAt[w.version] = time.Now()
}

// idleLimit is an idle limit of clients, and the time at which the configuration set it.
type idleLimit struct {
	from  time.Time
	limit time.Duration
}

func (w *world) currentIdleLimit() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.idleLimits[len(w.idleLimits)-1].limit
}

func route(prefix string, kind platformtest.Kind) platformtest.Route {
	return platformtest.Route{
		Host: hostname, PathPrefix: prefix, Kind: kind, TimeoutMS: 1500, TargetLatencyMS: 300,
		Priority: 1, Service: service, Attempts: 2, Sticky: true,
	}
}

func (w *world) addUpstream(zone string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastUpstream++
	u := newUpstream(w.t, fmt.Sprint("i-", w.lastUpstream), zone, w.ledger, w.checkDrained)
	u.violation = w.violation
	u.refused = func(id string) { w.notices.recordRefused(id, u) }
	w.alive = append(w.alive, u)
	w.everyUpstream = append(w.everyUpstream, u)
	w.store.PutUpstream(u.ID, u.row(false))
}

// randomUpstream returns a random running upstream.
func (w *world) randomUpstream() *upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.alive[w.rand.IntN(len(w.alive))]
}

// removeUpstream removes a random upstream from alive and returns it, or nil if too few
// would remain.
func (w *world) removeUpstream() *upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.alive) < minUpstreams {
		return nil
	}
	i := w.rand.IntN(len(w.alive))
	u := w.alive[i]
	w.alive = slices.Delete(w.alive, i, i+1)
	return u
}

func (w *world) randomHost() *host { return w.hosts[w.intN(len(w.hosts))] }

// hostAt returns the host with an address for clients, or nil.
func (w *world) hostAt(address string) *host {
	for _, h := range w.hosts {
		if h.clients == address {
			return h
		}
	}
	return nil
}

func (w *world) intN(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rand.IntN(n)
}

// randomDuration returns a random duration from a up to b, in whole milliseconds.
func (w *world) randomDuration(a, b time.Duration) time.Duration {
	return a + time.Duration(w.intN(int((b-a)/time.Millisecond)))*time.Millisecond
}

// settled reports whether the store and all hosts have been without faults for
// settleTime.
func (w *world) settled() bool {
	settled := w.storeDisruptions.settled()
	for _, h := range w.hosts {
		settled = settled && h.settled()
	}
	return settled
}
