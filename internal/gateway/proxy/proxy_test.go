package proxy_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/eventlog"
	"cairndock/internal/gateway/exchange"
	"cairndock/internal/gateway/outlier"
	"cairndock/internal/gateway/proxy"
	"cairndock/internal/gateway/retry"
	"cairndock/internal/gateway/route"
	"cairndock/internal/gateway/routing"
	"cairndock/internal/gateway/upstream"
	"cairndock/internal/gateway/watch"
	"cairndock/internal/telemetry"
	"cairndock/internal/verdict"
)

// The headers of the tests' own protocol.
const (
	headerID      = "Id"
	headerKey     = "Key"
	headerWait    = "Wait-Ms"
	headerGenuine = "Genuine"
	headerNotRun  = "Not-Run"
	headerTo      = "To"
)

type codec struct{}

func (codec) ParseRequest(h http.Header) proxy.RequestInfo {
	ms, _ := strconv.Atoi(h.Get(headerWait))
	return proxy.RequestInfo{ID: h.Get(headerID), Key: h.Get(headerKey), Timeout: time.Duration(ms) * time.Millisecond}
}

func (codec) WriteError(w http.ResponseWriter, _ proxy.RequestInfo, e *verdict.Error) {
	w.Header().Set("Verdict", e.Verdict.String())
	w.Header().Set("Reason", string(e.Reason))
	w.Header().Set("Retry", e.RetryAfter.String())
	w.WriteHeader(e.Reason.Status())
}

type protocol struct{}

func (protocol) SetHeaders(h http.Header, id string, left time.Duration) {
	h.Set(headerTo, id)
	h.Set(headerWait, strconv.FormatInt(left.Milliseconds(), 10))
}

func (protocol) ParseResponse(id string, status int, h http.Header) exchange.ResponseInfo {
	return exchange.ResponseInfo{
		WrongRequest: h.Get(headerID) != id, NotExecuted: h.Get(headerNotRun) != "", Misdirected: status == 421,
		Signed: h.Get(headerGenuine) != "",
	}
}

// decoder reads the rows of the tests: JSON of the product's own types.
type decoder struct{}

type intentRow struct {
	Version  int64
	Routes   []route.Route
	Evacuate string
	// Limits bound callers' connections; sizes are always the same.
	Limits route.Limits
}

func (decoder) OperatorRow(_ string, value []byte) (routing.OperatorRow, error) {
	var r intentRow
	if err := json.Unmarshal(value, &r); err != nil {
		return routing.OperatorRow{}, eris.Wrap(err, "parse")
	}
	if r.Evacuate != "" {
		return routing.OperatorRow{Evacuate: r.Evacuate}, nil
	}
	services := []route.Service{{Name: "s", WarmUp: time.Second, WarmUpRate: 5}}
	r.Limits.BodyBytes, r.Limits.HeaderBytes = 1000, 2000
	return routing.OperatorRow{Table: route.NewTable(r.Version, r.Routes, services, r.Limits)}, nil
}

func (decoder) Upstream(_ string, value []byte) (upstream.Registration, error) {
	var in upstream.Registration
	return in, eris.Wrap(json.Unmarshal(value, &in), "parse")
}

// world is a gateway with its upstreams.
type world struct {
	t         *testing.T
	gateway   *proxy.Proxy
	knowledge *routing.State
	server    *httptest.Server
	log       *lines
	version   int64
	upstreams int
}

// lines is a log that can be read while it is written.
type lines struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// reporter is a judge's, without other hosts.
type reporter struct{ *eventlog.Log }

func (reporter) FailureSeen() {}

type one struct{}

func (one) Hosts() int                              { return 1 }
func (one) WarmUpQuota(string, string, float64) int { return 100 }

func newWorld(t *testing.T) *world { return newTracedWorld(t, noop.NewTracerProvider()) }

func newTracedWorld(t *testing.T, traces trace.TracerProvider) *world {
	t.Helper()
	w := &world{t: t, log: &lines{}}
	m := telemetry.NewMetrics()
	log := eventlog.New(w.log, "h", zerolog.InfoLevel, m)
	t.Cleanup(log.Close)
	w.knowledge = routing.New(decoder{}, log, m)
	dial := exchange.Dialer{Timeout: 200 * time.Millisecond, Unacknowledged: time.Second}
	age := func() time.Duration { return 0 }
	judge := outlier.New(reporter{log})
	w.gateway = proxy.New(proxy.Options{
		State: w.knowledge, Detector: judge,
		Balancer: balance.New(balance.Location{Zone: "z", Region: "r", Regions: 1}, balance.DefaultWeights, one{}, judge),
		Budget:   retry.NewBudget(retry.Limits{Ratio: 1, Window: time.Second, Slack: 100}),
		Client:   exchange.NewClient(exchange.NewPool(dial.DialContext), protocol{}),
		Codec:    codec{}, Hosts: one{}, Ages: proxy.Ages{Config: age, Upstreams: age}, Log: log, Metrics: m,
		Tracer: telemetry.Tracer(traces),
	})
	w.server = httptest.NewServer(w.gateway)
	t.Cleanup(w.server.Close)
	return w
}

func (w *world) intent(key string, r intentRow) {
	w.version++
	value, err := json.Marshal(r)
	require.NoError(w.t, err)
	routing.OperatorSink{State: w.knowledge}.Apply(watch.Update{Rows: []watch.Row{{Key: key, Value: value, Version: w.version}}})
}

func (w *world) routes(rs ...route.Route) {
	w.intent("config", intentRow{Version: w.version + 1, Routes: rs})
}

// route gives the tests' usual route.
func usual(repeat route.Repeat) route.Route {
	return route.Route{Name: "r", Host: "a.example", Prefix: "/x/", Repeat: repeat, Attempts: 2, Timeout: 500 * time.Millisecond, Backends: []route.Backend{{Service: "s", Weight: 1}}}
}

// upstream adds an upstream that answers by a raw script.
func (w *world) upstream(s func(c net.Conn, r *http.Request)) *atomic.Int64 {
	w.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(w.t, err)
	w.t.Cleanup(func() { _ = l.Close() })
	var count atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				count.Add(1)
				s(c, r)
			}()
		}
	}()
	w.upstreams++
	id := fmt.Sprint("i-", w.upstreams)
	value, err := json.Marshal(upstream.Registration{ID: id, Service: "s", Address: l.Addr().String(), Zone: "z", Region: "r", Capacity: 2})
	require.NoError(w.t, err)
	w.version++
	routing.UpstreamSink{State: w.knowledge}.Apply(watch.Update{Rows: []watch.Row{{Key: id, Value: value, Version: w.version}}, Full: true})
	return &count
}

func reply(c net.Conn, r *http.Request, status int, header, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: %s\r\nConnection: close\r\nContent-Length: %d\r\n%s\r\n%s", status, r.Header.Get(headerID), len(body), header, body)
}

func sound(c net.Conn, r *http.Request) { reply(c, r, 200, "Genuine: 1\r\n", "whole") }

func broken(c net.Conn, _ *http.Request) { _ = c.(*net.TCPConn).SetLinger(0) }

func shed(c net.Conn, r *http.Request) { reply(c, r, 503, "Not-Run: 1\r\n", "") }

func (w *world) do(ctx context.Context, method, path, body string) (*http.Response, string, error) {
	w.t.Helper()
	r, err := http.NewRequestWithContext(ctx, method, w.server.URL+path, strings.NewReader(body))
	require.NoError(w.t, err)
	r.Host = "a.example"
	r.Header.Set(headerID, "id-1")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp, string(text), err
}

func (w *world) get() (*http.Response, string) {
	w.t.Helper()
	resp, body, err := w.do(w.t.Context(), http.MethodGet, "/x/1?q=%2F", "")
	require.NoError(w.t, err)
	return resp, body
}

func TestBeforeAnyConfigurationARequestIsRefusedAsNotRun(t *testing.T) {
	w := newWorld(t)
	resp, _ := w.get()
	require.Equal(t, 503, resp.StatusCode)
	require.Equal(t, "not-ready", resp.Header.Get("Reason"))
	require.Equal(t, "not-run", resp.Header.Get("Verdict"))
}

func TestARequestIsServedAndItsAnswerUnchanged(t *testing.T) {
	w := newWorld(t)
	w.routes(usual(route.Once))
	w.upstream(func(c net.Conn, r *http.Request) {
		reply(c, r, 201, "Genuine: 1\r\nOdd: kept\r\n", r.Method+" "+r.RequestURI+" "+r.Header.Get(headerTo))
	})
	resp, body, err := w.do(t.Context(), http.MethodPost, "/x/a%20b?q=%2F", "text")
	require.NoError(t, err)
	require.Equal(t, 201, resp.StatusCode)
	require.Equal(t, "POST /x/a%20b?q=%2F i-1", body)
	require.Equal(t, "kept", resp.Header.Get("Odd"))
	require.Empty(t, resp.Header.Get("Content-Type"), "nothing is guessed")

	resp, _, err = w.do(t.Context(), http.MethodGet, "/nowhere/", "")
	require.NoError(t, err)
	require.Equal(t, 404, resp.StatusCode)
}

// Each way an upstream can fail, with one upstream that fails and one that
// is sound: what may be repeated is served all the same, and what may not
// runs at most once and is told the truth.
func TestFailuresOfUpstreams(t *testing.T) {
	for _, c := range []struct {
		name    string
		fail    func(c net.Conn, r *http.Request)
		mayRun  bool
		verdict string
	}{
		{"refuses", shed, false, ""},
		{"resets", broken, true, "may-have-run"},
		{"other instance", func(c net.Conn, r *http.Request) { reply(c, r, 421, "", "") }, false, ""},
		{"refuses without proof", func(c net.Conn, r *http.Request) { reply(c, r, 503, "Genuine: 1\r\n", "") }, true, "may-have-run"},
		{"success without proof", func(c net.Conn, r *http.Request) { reply(c, r, 200, "", "fake") }, true, "may-have-run"},
		{"half a body", cutShort, true, "may-have-run"},
	} {
		for _, repeat := range []route.Repeat{route.Repeatable, route.Once} {
			t.Run(fmt.Sprint(c.name, repeat), func(t *testing.T) {
				w := newWorld(t)
				w.routes(usual(repeat))
				failing := w.upstream(c.fail)
				good := w.upstream(sound)
				// A key whose home is the failing upstream.
				for key := 0; failing.Load() == 0 && key < 50; key++ {
					r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, w.server.URL+"/x/", nil)
					require.NoError(t, err)
					r.Host = "a.example"
					r.Header.Set(headerID, strconv.Itoa(key))
					r.Header.Set(headerKey, strconv.Itoa(key))
					before := good.Load()
					resp, err := http.DefaultClient.Do(r)
					require.NoError(t, err)
					body, _ := io.ReadAll(resp.Body)
					_ = resp.Body.Close()
					if failing.Load() == 0 {
						continue
					}
					if repeat == route.Once && c.mayRun {
						require.Equal(t, 502, resp.StatusCode)
						require.Equal(t, c.verdict, resp.Header.Get("Verdict"))
						require.Equal(t, before, good.Load(), "a request that may have run is not sent again")
						continue
					}
					require.Equal(t, 200, resp.StatusCode)
					require.Equal(t, "whole", string(body))
				}
				require.EqualValues(t, 1, failing.Load())
			})
		}
	}
}

func TestALongAnswerThatBreaksOffBreaksTheCallersConnection(t *testing.T) {
	w := newWorld(t)
	w.routes(usual(route.Repeatable))
	w.upstream(func(c net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nGenuine: 1\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get(headerID))
		for range 10 {
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", 8000, strings.Repeat("x", 8000))
		}
	})
	_, _, err := w.do(t.Context(), http.MethodGet, "/x/", "")
	require.Error(t, err)
}

func TestTheRoutesTimeoutGivesTheFinalAnswerAtOnce(t *testing.T) {
	for _, repeat := range []route.Repeat{route.Repeatable, route.Once} {
		w := newWorld(t)
		w.routes(usual(repeat))
		w.upstream(func(net.Conn, *http.Request) { time.Sleep(2 * time.Second) })
		began := time.Now()
		resp, _ := w.get()
		require.Equal(t, 504, resp.StatusCode)
		require.Equal(t, "may-have-run", resp.Header.Get("Verdict"))
		require.InDelta(t, 0.5, time.Since(began).Seconds(), 0.2)
	}
}

func TestRefusalsAllRoundAreProvedNotToHaveRun(t *testing.T) {
	w := newWorld(t)
	w.routes(usual(route.Once))
	a, b := w.upstream(shed), w.upstream(shed)
	resp, _ := w.get()
	require.Equal(t, 503, resp.StatusCode)
	require.Equal(t, "not-run", resp.Header.Get("Verdict"))
	require.NotEqual(t, "0s", resp.Header.Get("Retry"), "the caller is told when to come back")
	require.EqualValues(t, 2, a.Load()+b.Load(), "attempts bound the upstreams tried")
}

// A caller that leaves: a request that may be repeated is cancelled at the
// upstream; one that may not is left to its end, but is never sent again.
// Callers that were refused together come back one after the other.
func TestRefusedCallersAreToldDifferentTimesToComeBack(t *testing.T) {
	w := newWorld(t)
	w.routes(usual(route.Once))
	w.upstream(shed)
	times := map[string]bool{}
	for range 8 {
		resp, _ := w.get()
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		again, err := time.ParseDuration(resp.Header.Get("Retry"))
		require.NoError(t, err)
		require.GreaterOrEqual(t, again, 350*time.Millisecond)
		require.Less(t, again, 750*time.Millisecond)
		times[again.String()] = true
	}
	require.Greater(t, len(times), 4)
}

func TestACallerThatLeaves(t *testing.T) {
	t.Run("repeatable", func(t *testing.T) {
		w := newWorld(t)
		w.routes(usual(route.Repeatable))
		gone := make(chan struct{})
		w.upstream(func(c net.Conn, _ *http.Request) {
			_, _ = c.Read(make([]byte, 1))
			close(gone)
		})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, _, err := w.do(ctx, http.MethodGet, "/x/", "")
		require.Error(t, err)
		select {
		case <-gone:
		case <-time.After(300 * time.Millisecond):
			t.Fatal("the upstream works on")
		}
	})
	t.Run("once", func(t *testing.T) {
		w := newWorld(t)
		w.routes(usual(route.Once))
		slowShed := func(c net.Conn, r *http.Request) {
			time.Sleep(250 * time.Millisecond)
			shed(c, r)
		}
		a, b := w.upstream(slowShed), w.upstream(slowShed)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, _, err := w.do(ctx, http.MethodPost, "/x/", "body")
		require.Error(t, err)
		time.Sleep(500 * time.Millisecond)
		require.EqualValues(t, 1, a.Load()+b.Load())
	})
}

func TestLimitsOfARequest(t *testing.T) {
	w := newWorld(t)
	w.routes(usual(route.Repeatable))
	w.upstream(sound)
	resp, _, err := w.do(t.Context(), http.MethodPost, "/x/", strings.Repeat("x", 1001))
	require.NoError(t, err)
	require.Equal(t, 413, resp.StatusCode)
	resp, _, err = w.do(t.Context(), http.MethodGet, "/x/"+strings.Repeat("y", 2000), "")
	require.NoError(t, err)
	require.Equal(t, 431, resp.StatusCode)
}

func TestAnEvacuatedZoneGetsNothing(t *testing.T) {
	w := newWorld(t)
	w.routes(usual(route.Repeatable))
	n := w.upstream(sound)
	w.intent("evacuate", intentRow{Evacuate: "z"})
	resp, _ := w.get()
	require.Equal(t, 503, resp.StatusCode)
	require.Zero(t, n.Load())
	routing.OperatorSink{State: w.knowledge}.Apply(watch.Update{Rows: []watch.Row{{Key: "evacuate", Version: 99, Deleted: true}}})
	resp, _ = w.get()
	require.Equal(t, 200, resp.StatusCode)
}

func TestAConfigurationNeverGoesBackAndABadOneChangesNothing(t *testing.T) {
	w := newWorld(t)
	w.upstream(sound)
	w.intent("config", intentRow{Version: 5, Routes: []route.Route{usual(route.Repeatable)}})
	w.intent("config", intentRow{Version: 4})
	resp, _ := w.get()
	require.Equal(t, 200, resp.StatusCode)
	routing.OperatorSink{State: w.knowledge}.Apply(watch.Update{Rows: []watch.Row{{Key: "config", Value: []byte("{"), Version: 50}}})
	resp, _ = w.get()
	require.Equal(t, 200, resp.StatusCode)
	require.Eventually(t, func() bool { return strings.Contains(w.log.String(), "bad-row") }, time.Second, time.Millisecond)
}

// A planned stop: callers are asked to go elsewhere, those that come are
// served, and what is under way ends well.
func TestAPlannedStopCutsNothing(t *testing.T) {
	w := newWorld(t)
	w.routes(usual(route.Once))
	w.upstream(func(c net.Conn, r *http.Request) {
		time.Sleep(300 * time.Millisecond)
		sound(c, r)
	})
	s := proxy.NewServer(w.gateway)
	require.NoError(t, s.ListenClients("127.0.0.1:0"))
	address := s.ClientAddress()
	w.server.URL = "http://" + address
	type result struct {
		resp *http.Response
		body string
		err  error
	}
	results := make(chan result, 2)
	ask := func() {
		resp, body, err := w.do(t.Context(), http.MethodPost, "/x/", "b")
		results <- result{resp, body, err}
	}
	go ask()
	time.Sleep(50 * time.Millisecond)
	cut := make(chan int64, 1)
	go func() { cut <- s.Stop(t.Context(), 2*time.Second) }()
	time.Sleep(50 * time.Millisecond)
	require.False(t, w.gateway.Ready())
	go ask()
	for range 2 {
		r := <-results
		require.NoError(t, r.err)
		require.Equal(t, "whole", r.body)
	}
	require.Zero(t, <-cut)
	_, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
	require.Error(t, err)
}

// What a stopping host can't finish gets a final answer, not a connection that
// closes.
func TestAStopTellsWhatItCouldNotFinish(t *testing.T) {
	w := newWorld(t)
	long := usual(route.Once)
	long.Timeout = time.Minute
	w.routes(long)
	w.upstream(func(c net.Conn, r *http.Request) {
		time.Sleep(3 * time.Second)
		sound(c, r)
	})
	s := proxy.NewServer(w.gateway)
	t.Cleanup(s.Close)
	require.NoError(t, s.ListenClients("127.0.0.1:0"))
	w.server.URL = "http://" + s.ClientAddress()
	cut := make(chan int64, 1)
	time.AfterFunc(50*time.Millisecond, func() { cut <- s.Stop(t.Context(), time.Second) })
	resp, _, err := w.do(t.Context(), http.MethodPost, "/x/", "b")
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode)
	require.Equal(t, verdict.MayHaveRun.String(), resp.Header.Get("Verdict"))
	require.Equal(t, string(verdict.Interrupted), resp.Header.Get("Reason"))
	require.EqualValues(t, 1, <-cut)
}

func TestAFailureIsToldInTheLogByItsID(t *testing.T) {
	w := newWorld(t)
	w.routes(usual(route.Once))
	w.upstream(broken)
	resp, _ := w.get()
	require.Equal(t, 502, resp.StatusCode)
	require.Eventually(t, func() bool { return strings.Count(w.log.String(), `"request":"id-1"`) == 2 }, time.Second, time.Millisecond)
	require.Contains(t, w.log.String(), `"upstream":"i-1"`)
}
