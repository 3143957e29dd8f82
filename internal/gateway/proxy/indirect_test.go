package proxy_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/account"
	"cairndock/internal/gateway/exchange"
	"cairndock/internal/gateway/indirect"
	"cairndock/internal/gateway/notice"
	"cairndock/internal/gateway/route"
	"cairndock/internal/peer"
	"cairndock/internal/verdict"
)

// testPeers are the other hosts of a testGateway.
type testPeers struct {
	mesh  *peer.Mesh
	mu    sync.Mutex
	hosts []indirect.Host
}

func (p *testPeers) IndirectHosts() []indirect.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hosts
}

func (p *testPeers) set(hosts ...indirect.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = hosts
}

func (p *testPeers) OpenStream(ctx context.Context, address string, kind peer.Kind, payload []byte) (*peer.Stream, error) {
	return p.mesh.Open(ctx, address, kind, payload)
}

// peerHandler serves the streams of other hosts.
type peerHandler func(ctx context.Context, from peer.Hello, kind peer.Kind, payload []byte, w *peer.Responder)

func (h peerHandler) ServePeer(ctx context.Context, from peer.Hello, kind peer.Kind, payload []byte, w *peer.Responder) {
	h(ctx, from, kind, payload, w)
}

// listenPeers starts a mesh and returns it as another host.
func listenPeers(t *testing.T, name string, h peerHandler) (*peer.Mesh, indirect.Host) {
	t.Helper()
	m := peer.NewMesh(peer.Hello{Host: name, Zone: "z", Incarnation: name}, peer.TCP((&net.Dialer{}).DialContext), h)
	address, err := m.Listen("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(m.Close)
	return m, indirect.Host{Name: name, Zone: "z", Region: "r", Address: address, Room: 1000}
}

// host returns the gateway as another host.
func (g *testGateway) host(name string) indirect.Host {
	g.t.Helper()
	m, h := listenPeers(g.t, name, func(ctx context.Context, from peer.Hello, _ peer.Kind, payload []byte, w *peer.Responder) {
		g.proxy.ServeIndirect(ctx, from.Host, payload, w)
	})
	g.peers.mesh = m
	return h
}

// newIsolated returns a gateway that has upstreams and reaches none of them, and another one
// that reaches an upstream. Both have the same configuration.
func newIsolated(t *testing.T, r route.Route, respond func(c net.Conn, r *http.Request)) (isolated, other *testGateway, requests *atomic.Int64) {
	t.Helper()
	isolated, other = newTestGateway(t), newTestGateway(t)
	isolated.setRoutes(r)
	other.setRoutes(r)
	for _, isolated.zone = range []string{"z", "y", "x"} {
		isolated.addTerminated()
	}
	requests = other.addUpstream(respond)
	isolated.host("isolated")
	isolated.peers.set(other.host("other"))
	require.True(t, isolated.proxy.Reach.Check())
	return isolated, other, requests
}

func TestRequestsOfAnIsolatedHostGoThroughAnother(t *testing.T) {
	for _, repeat := range []route.Repeat{route.Repeatable, route.Once} {
		isolated, other, requests := newIsolated(t, testRoute(repeat), healthy)
		for key := range 8 {
			require.Equal(t, http.StatusOK, isolated.getKey(key))
		}
		require.EqualValues(t, 8, requests.Load())
		isolated.requireMetric("cairndock_indirect_sent_total 8")
		other.requireMetric("cairndock_indirect_received_total 8")
		isolated.requireNoMetric("cairndock_attempt_failures_total") // no client's request is used to find out whether the path is back
	}
}

// The retry budget of all hosts is computed from the requests of clients, each counted once.
func TestARequestThroughAnotherHostCountsOnceForTheRetryBudget(t *testing.T) {
	isolated, other, _ := newIsolated(t, testRoute(route.Repeatable), resetting)
	require.Equal(t, http.StatusBadGateway, isolated.getKey(1))
	other.requireMetric(`cairndock_requests_total{service="s"} 1`)
	isolated.requireNoMetric(`cairndock_requests_total`)
}

func TestARequestTakesOneHopOnly(t *testing.T) {
	isolated, other, _ := newIsolated(t, testRoute(route.Repeatable), healthy)
	for _, other.zone = range []string{"z", "y", "x"} {
		other.addTerminated()
	}
	other.drainUpstreams()
	for _, other.zone = range []string{"z", "y", "x"} {
		other.addTerminated()
	}
	require.True(t, other.proxy.Reach.Check())
	other.peers.set(isolated.host("isolated-again"))
	began := time.Now()
	require.Equal(t, http.StatusServiceUnavailable, isolated.getKey(1))
	require.Less(t, time.Since(began), 200*time.Millisecond)
	isolated.requireMetric("cairndock_indirect_sent_total 1")
	other.requireNoMetric("cairndock_indirect_sent_total")
}

// A host that refuses proves that nothing ran, so that the next one is asked.
func TestARefusedRequestGoesThroughTheNextHost(t *testing.T) {
	for _, repeat := range []route.Repeat{route.Repeatable, route.Once} {
		isolated, other, requests := newIsolated(t, testRoute(repeat), healthy)
		leaving := newTestGateway(t)
		leaving.setRoutes(testRoute(repeat))
		leaving.proxy.Leave()
		gone := indirect.Host{Name: "gone", Zone: "z", Region: "r", Address: "127.0.0.1:1", Room: 1 << 30}
		near := leaving.host("leaving")
		near.Room = 1 << 20
		far := other.host("far")
		far.Region, far.Zone = "elsewhere", "far"
		isolated.peers.set(gone, near, far)
		require.Equal(t, http.StatusOK, isolated.getKey(1))
		require.EqualValues(t, 1, requests.Load())
	}
}

// If the other host is lost after it got the request, the request may have run.
func TestALostHostMayHaveRunTheRequest(t *testing.T) {
	for _, c := range []struct {
		repeat route.Repeat
		status int
	}{{route.Once, http.StatusBadGateway}, {route.Repeatable, http.StatusOK}} {
		isolated, other, requests := newIsolated(t, testRoute(c.repeat), healthy)
		var lost *peer.Mesh
		lost, near := listenPeers(t, "lost", func(context.Context, peer.Hello, peer.Kind, []byte, *peer.Responder) { go lost.Close() })
		far := other.host("far")
		far.Region, far.Zone = "elsewhere", "far"
		isolated.peers.set(near, far)
		require.Equal(t, c.status, isolated.getKey(1))
		if c.repeat == route.Once {
			require.Zero(t, requests.Load())
		}
	}
}

// The body of a request that is restricted to regions must not leave these.
func TestARestrictedRequestGoesThroughHostsOfItsRegionsOnly(t *testing.T) {
	r := testRoute(route.Repeatable)
	r.Regions = []string{"r"}
	isolated, other, requests := newIsolated(t, r, healthy)
	far := other.host("far")
	far.Region = "elsewhere"
	isolated.peers.set(far)
	require.Equal(t, http.StatusServiceUnavailable, isolated.getKey(1))
	require.Zero(t, requests.Load())
	isolated.requireNoMetric("cairndock_indirect_sent_total")
}

func TestAHostRefusesRequestsOfOthers(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(isolated, other *testGateway)
		detail string
	}{
		{"with an older configuration", func(isolated, _ *testGateway) { isolated.setRoutes(testRoute(route.Repeatable)) }, "the configuration is older"},
		{"while it is stopping", func(_, other *testGateway) { other.proxy.Leave() }, "the host is stopping"},
		{"above its capacity", func(_, other *testGateway) {
			other.proxy.Capacity = 1
			for range 10 {
				other.getKey(1)
			}
			time.Sleep(time.Second) // until the rate is known
		}, "the host gets more than 1 requests per second"},
	} {
		t.Run(c.name, func(t *testing.T) {
			isolated, other, requests := newIsolated(t, testRoute(route.Repeatable), healthy)
			c.change(isolated, other)
			before := requests.Load()
			require.Equal(t, http.StatusServiceUnavailable, isolated.getKey(1))
			require.Equal(t, before, requests.Load())
			isolated.requireLogged(c.detail)
		})
	}
}

func TestALongBodyComesThroughAnotherHostWhole(t *testing.T) {
	const size = 3 << 20
	text := strings.Repeat("0123456789abcdef", size/16)
	r := testRoute(route.Repeatable)
	r.Timeout = 10 * time.Second // the body, not the time that it takes, is under test
	isolated, _, _ := newIsolated(t, r, func(c net.Conn, r *http.Request) {
		reply(c, r, http.StatusOK, "Genuine: 1\r\n", text)
	})
	resp, body := isolated.get()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, text, body)
}

// A request whose body does not fit into a message is refused, with the proof that it did not
// run.
func TestABodyThatIsTooLargeForAMessageIsRefused(t *testing.T) {
	var p testPeers
	var h indirect.Host
	p.mesh, h = listenPeers(t, "other", func(context.Context, peer.Hello, peer.Kind, []byte, *peer.Responder) { t.Error("got a request") })
	_, _, err := indirect.Send(t.Context(), &p, h, indirect.Request{Body: make([]byte, 1<<20)})
	require.Equal(t, verdict.NotRun, verdict.From(err).Verdict)
	require.Equal(t, verdict.PeerFailed, verdict.From(err).Reason)
}

// A request that waits for an upstream when the host loses its path is sent through another
// host at once if it may run more than once.
func TestARequestInFlightGoesThroughAnotherHost(t *testing.T) {
	r := testRoute(route.Repeatable)
	r.Timeout = 5 * time.Second
	isolated, other := newTestGateway(t), newTestGateway(t)
	isolated.setRoutes(r)
	other.setRoutes(r)
	var close [3]func()
	for i, zone := range []string{"z", "y", "x"} {
		isolated.zone = zone
		isolated.addClosableUpstream(silent, &close[i])
	}
	other.addUpstream(healthy)
	isolated.host("isolated")
	isolated.peers.set(other.host("other"))
	time.AfterFunc(100*time.Millisecond, func() {
		for _, c := range close {
			c()
		}
		isolated.proxy.Reach.Check()
	})
	began := time.Now()
	require.Equal(t, http.StatusOK, isolated.getKey(1))
	require.Less(t, time.Since(began), time.Second)
}

// A planned stop waits for the requests of other hosts.
func TestAStopWaitsForRequestsOfOtherHosts(t *testing.T) {
	r := testRoute(route.Once)
	r.Timeout = 5 * time.Second
	isolated, other, requests := newIsolated(t, r, func(c net.Conn, r *http.Request) {
		time.Sleep(500 * time.Millisecond)
		healthy(c, r)
	})
	status := make(chan int)
	go func() { status <- isolated.getKey(1) }()
	require.Eventually(t, func() bool { return requests.Load() == 1 }, time.Second, time.Millisecond)
	server, _ := other.listen()
	require.Zero(t, server.Stop(t.Context(), 3*time.Second))
	require.Zero(t, other.proxy.InFlight())
	require.Equal(t, http.StatusOK, <-status)
}

// requireNoMetric requires that no line of the metrics begins with a text.
func (g *testGateway) requireNoMetric(prefix string) {
	g.t.Helper()
	var metrics strings.Builder
	g.proxy.Metrics.Write(&metrics)
	require.NotContains(g.t, metrics.String(), "\n"+prefix)
}

// A host that had lost its path took all upstreams for terminated, and told the other hosts.
func TestAnIsolatedHostTakesNoUpstreamForTerminated(t *testing.T) {
	g := newTestGateway(t)
	g.setRoutes(testRoute(route.Once))
	cut := make(chan struct{})
	var closeListener [3]func()
	var received [3]*atomic.Int64
	for i := range closeListener {
		g.zone = []string{"z", "y", "x"}[i]
		received[i] = g.addClosableUpstream(func(c net.Conn, r *http.Request) {
			<-cut
			resetting(c, r)
		}, &closeListener[i])
	}
	var requests sync.WaitGroup
	for key := range 24 {
		requests.Go(func() { g.getKey(key) })
	}
	for _, n := range received {
		require.Eventually(t, func() bool { return n.Load() > 0 }, time.Second, time.Millisecond)
	}
	for _, c := range closeListener {
		c()
	}
	close(cut)
	requests.Wait()
	time.Sleep(500 * time.Millisecond) // until the checks have ended
	require.Zero(t, strings.Count(g.log.String(), `"event":"upstream-ended"`))
	require.True(t, g.suspicions.Empty())
}

// Keys are secrets: another host gets the name of the account, by which it applies the
// account's priority and regions.
func TestAnotherHostGetsTheAccountAndNoKey(t *testing.T) {
	isolated, other, _ := newIsolated(t, testRoute(route.Repeatable), echoAccount)
	var payloads sync.Map
	mesh, watched := listenPeers(t, "watched", func(ctx context.Context, from peer.Hello, _ peer.Kind, payload []byte, w *peer.Responder) {
		payloads.Store(string(payload), true)
		other.proxy.ServeIndirect(ctx, from.Host, payload, w)
	})
	isolated.peers.mesh = mesh
	isolated.peers.set(watched)
	for _, g := range []*testGateway{isolated, other} {
		g.setAccountsAt(1000, railAccount())
	}
	resp, body := isolated.sendWith(http.MethodGet, "/x/", headerSecret, "k-rail")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "account=rail secret=", body)
	sent := 0
	payloads.Range(func(payload, _ any) bool {
		sent++
		require.Contains(t, payload, "rail")
		require.NotContains(t, payload, "k-rail")
		return true
	})
	require.Equal(t, 1, sent)
}

// The client's host has accepted its key, so that the client must not be told that it is
// unknown.
func TestAnAccountThatAnotherHostLacksIsRefusedAsNotRun(t *testing.T) {
	isolated, other, requests := newIsolated(t, testRoute(route.Repeatable), healthy)
	isolated.setAccountsAt(1000, railAccount())
	other.setAccountsAt(1000, account.Entry{Account: account.Account{Name: "yard"}, Keys: []string{"k-yard"}})
	resp, _ := isolated.sendWith(http.MethodGet, "/x/", headerSecret, "k-rail")
	require.NotEqual(t, http.StatusUnauthorized, resp.StatusCode)
	isolated.requireLogged(`"verdict":"not-run","reason":"peer-failed"`)
	require.Zero(t, requests.Load())
	isolated.requireLogged("belongs to no client account")
}

// setAccountsAt applies a configuration with a version and one client account.
func (g *testGateway) setAccountsAt(version int64, e account.Entry) {
	g.putOperatorRow("config", operatorRow{Version: version, Routes: []route.Route{testRoute(route.Repeatable)}, Accounts: []account.Entry{e}})
}

// A reply that is no response must not be forwarded: the server would panic at its status.
func TestAReplyThatIsNoResponseIsAFailure(t *testing.T) {
	for _, reply := range []any{map[string]any{}, nil, indirect.Reply{Status: 99}, indirect.Reply{Status: 1000}, "text"} {
		isolated, _, _ := newIsolated(t, testRoute(route.Once), healthy)
		mesh, broken := listenPeers(t, "broken", func(_ context.Context, _ peer.Hello, _ peer.Kind, _ []byte, w *peer.Responder) { _ = w.Send(reply) })
		isolated.peers.mesh = mesh
		isolated.peers.set(broken)
		resp, _, err := isolated.do(t.Context(), http.MethodPost, "/x/", "")
		require.NoError(t, err, "%v", reply)
		require.Equal(t, http.StatusBadGateway, resp.StatusCode, "%v", reply)
		require.Equal(t, verdict.MayHaveRun.String(), resp.Header.Get("Verdict"), "%v", reply)
	}
}

// The body of a response that came through another host was forwarded whatever its length, also as
// a complete one.
func TestABodyOfAnotherHostIsOfItsLengthAndWithinTheLimit(t *testing.T) {
	for name, c := range map[string]struct{ length, sent int64 }{
		"declares too much": {1 << 40, 50_000},
		"longer":            {4, 5},
		"shorter":           {5, 4},
		"long and longer":   {100_000, 100_001},
		"without end":       {-1, 1 << 30},
	} {
		t.Run(name, func(t *testing.T) {
			isolated, _, _ := newIsolated(t, testRoute(route.Once), healthy)
			isolated.proxy.Client.LimitResponses(exchange.ResponseLimits{HeadBytes: exchange.DefaultMaxHeadBytes, BodyBytes: 200_000})
			var sent atomic.Int64
			ended := make(chan struct{})
			mesh, broken := listenPeers(t, "broken", func(_ context.Context, _ peer.Hello, _ peer.Kind, _ []byte, w *peer.Responder) {
				defer close(ended)
				head, err := peer.Encode(indirect.Reply{Status: http.StatusOK, Length: c.length, Header: http.Header{"Genuine": {"1"}, "Id": {"id-1"}}})
				if err != nil || w.Reply(head) != nil {
					return
				}
				for sent.Load() < c.sent {
					n, err := w.Write(make([]byte, min(c.sent-sent.Load(), copyBytes)))
					if sent.Add(int64(n)); err != nil {
						return
					}
				}
				_ = w.End() // the reader checks it
			})
			isolated.peers.mesh = mesh
			isolated.peers.set(broken)
			resp, _, err := isolated.do(t.Context(), http.MethodPost, "/x/", "")
			if err == nil {
				require.Equal(t, http.StatusBadGateway, resp.StatusCode)
				require.Equal(t, verdict.MayHaveRun.String(), resp.Header.Get("Verdict"))
			}
			<-ended
			require.Less(t, sent.Load(), int64(1<<20))
		})
	}
}

// copyBytes is the size of the chunks in which a host sends a body.
const copyBytes = 16 << 10

// A client that leaves ends its request at the upstream, over both hosts.
func TestAClientThatLeavesCancelsItsRequestAtTheOtherHost(t *testing.T) {
	arrived, canceled := make(chan struct{}), make(chan struct{})
	r := testRoute(route.Repeatable)
	r.Timeout = 10 * time.Second
	isolated, _, _ := newIsolated(t, r, func(c net.Conn, _ *http.Request) {
		close(arrived)
		_, _ = c.Read(make([]byte, 1)) // returns when the other host closes the connection
		close(canceled)
	})
	ctx, leave := context.WithCancel(t.Context())
	go func() { _, _, _ = isolated.do(ctx, http.MethodGet, "/x/", "") }()
	<-arrived
	left := time.Now()
	leave()
	select {
	case <-canceled:
		require.Less(t, time.Since(left), 500*time.Millisecond)
	case <-time.After(5 * time.Second):
		require.Fail(t, "the upstream still works for a client that has left")
	}
}

// The method and the host of a message are written to the upstream as they are, so that a
// delimiter in them smuggled in another request.
func TestAMalformedRequestOfAnotherHostIsRefused(t *testing.T) {
	isolated, other, requests := newIsolated(t, testRoute(route.Repeatable), healthy)
	to := other.host("other")
	valid := indirect.Request{ID: "1", Method: http.MethodGet, Host: "a.example", Target: "/x/", Header: http.Header{headerID: {"1"}}, LeftMillis: 1000}
	resp, _, err := indirect.Send(t.Context(), &isolated.peers, to, valid)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	for name, change := range map[string]func(r *indirect.Request){
		"a request in the method":  func(r *indirect.Request) { r.Method = "GET /y HTTP/1.1\r\nHost: b\r\n\r\nGET" },
		"a header in the host":     func(r *indirect.Request) { r.Host = "a.example:1\r\nX: y" },
		"a space in the target":    func(r *indirect.Request) { r.Target = "/x/ HTTP/1.0" },
		"no header":                func(r *indirect.Request) { r.Header = nil },
		"a negative attempt count": func(r *indirect.Request) { r.Attempts = -5 },
		"a time that overflows":    func(r *indirect.Request) { r.LeftMillis = 1 << 62 },
	} {
		r := valid
		change(&r)
		_, _, err := indirect.Send(t.Context(), &isolated.peers, to, r)
		require.Error(t, err, name)
		require.Equal(t, verdict.NotRun, verdict.From(err).Verdict, name)
	}
	require.EqualValues(t, 1, requests.Load())
}

// An upstream had said to a host that it leaves. The host's requests reached it through another
// host that had not been told.
func TestWhatAHostWasToldHoldsForItsRequestsThroughAnother(t *testing.T) {
	isolated, other, leaving := newIsolated(t, testRoute(route.Repeatable), healthy)
	run := other.state.Upstreams().Service("s")[0].Run()
	staying := other.addUpstream(healthy)
	now := time.Now()
	isolated.proxy.Notices.Observe(run, notice.Notice{}.WithLeaving(), now, now.Add(-time.Minute)) // no longer announced
	for key := range 8 {
		require.Equal(t, http.StatusOK, isolated.getKey(key))
	}
	require.Zero(t, leaving.Load())
	require.EqualValues(t, 8, staying.Load())
}

func TestAHostLearnsWhatAnUpstreamSaysThroughAnother(t *testing.T) {
	isolated, other, _ := newIsolated(t, testRoute(route.Repeatable), func(c net.Conn, r *http.Request) {
		reply(c, r, 200, "Genuine: 1\r\n"+headerLeaving+": 1\r\n", "whole")
	})
	u := other.state.Upstreams().Service("s")[0]
	require.Equal(t, http.StatusOK, isolated.getKey(1))
	require.False(t, isolated.proxy.Notices.MaySend(u, time.Now()))
}
