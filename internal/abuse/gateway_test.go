package abuse

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cairndock/internal/testaddr"
	"cairndock/platform/platformtest"
)

const (
	// hostname is the host name of the gateway's route.
	hostname = "abuse.example"
	// upstreamCount is the number of upstreams, and upstreamLatency the time that each takes
	// for a request.
	upstreamCount   = 15
	upstreamLatency = 30 * time.Millisecond
	// upstreamSlots is the number of requests that an upstream runs at the same time.
	upstreamSlots = 9
	// callTimeout is the timeout of the route, and of ordinary clients.
	callTimeout = 2 * time.Second
	// maxHeaderBytes and maxBodyBytes are the limits of the configuration.
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 64 << 20
	// startTimeout limits the time until a host serves.
	startTimeout = 15 * time.Second
	// largeResponse is the size of the body of a response at largePath.
	largeResponse = 4 << 20
)

// The paths of the service.
const (
	workPath  = "/work/item"
	largePath = "/work/large"
)

// respondToWork responds to a request as an upstream, after upstreamLatency. The request's
// body must have arrived whole.
func respondToWork(w http.ResponseWriter, path string) {
	if strings.HasSuffix(path, "/large") {
		w.Header().Set("Content-Length", fmt.Sprint(largeResponse))
		block := make([]byte, 64<<10)
		for range largeResponse / len(block) {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
		return
	}
	_, _ = io.WriteString(w, answer) // an error means that the host gave the request up
}

// answer is the body of most responses.
const answer = "done"

// startGatewayUpstream starts an upstream of the gateway and registers it.
func startGatewayUpstream(t *testing.T, store *platformtest.Store, id string) {
	t.Helper()
	u := platformtest.Upstream{ID: id, Slots: upstreamSlots}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if _, ok := u.Accept(w, r); !ok {
			return
		}
		time.Sleep(upstreamLatency)
		u.Sign(w.Header(), 1)
		respondToWork(w, r.URL.Path)
	}))
	t.Cleanup(s.Close)
	store.PutUpstream(id, platformtest.UpstreamRow{
		Service: "work", Address: strings.TrimPrefix(s.URL, "http://"), Zone: "west-1", Capacity: upstreamSlots, StartedAt: time.Now(),
	})
}

// gatewaySettings is the template of the settings of a gateway.
const gatewaySettings = `
[host]
name = "host-1"
zone = "west-1"
region = "west"
[listen]
callers = %q
readiness = %q
directory = %q
peers = %q
metrics = %q
[store]
address = %q
[zones]
west-1 = "west"
[resources]
memory_mb = %d
descriptors = %d
[stop]
grace = %q
`

// startGateway starts a gateway host and waits until it serves.
func startGateway(t *testing.T, m machine) *host {
	t.Helper()
	store := platformtest.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	t.Cleanup(func() { store.SetFaults(platformtest.Faults{Reset: true}) }) // ends polls, which hold the server
	store.PutConfig(platformtest.Config{
		Version: 1,
		Routes: map[string]platformtest.Route{"work": {
			Host: hostname, PathPrefix: "/work/", Kind: platformtest.Unsafe, TimeoutMS: int(callTimeout.Milliseconds()),
			TargetLatencyMS: 400, Priority: 1, Service: "work", Attempts: 2,
		}},
		Services: map[string]platformtest.Service{"work": {HealthCheckPath: "/healthz", MaxConnections: 330}},
		Limits:   platformtest.Limits{MaxHeaderBytes: maxHeaderBytes, MaxBodyBytes: maxBodyBytes, HeaderTimeoutMS: 5000, IdleTimeoutMS: 30000},
	})
	for i := range upstreamCount {
		startGatewayUpstream(t, store, fmt.Sprint("upstream-", i))
	}
	h := &host{callers: testaddr.Free(t), readiness: testaddr.Free(t), directory: testaddr.Free(t), metrics: testaddr.Free(t), peers: testaddr.Free(t)}
	h.workURL, h.workHost = "http://"+h.callers, hostname
	h.work, h.large, h.unrouted, h.ready = workPath, largePath, "/none/item", "/-/readyz"
	h.maxBody = maxBodyBytes
	h.setHeaders = func(header http.Header, id string) {
		platformtest.Request{ID: id, Timeout: callTimeout}.SetHeaders(header)
	}
	h.process = startProcess(t, m, "gateway", fmt.Sprintf(gatewaySettings, h.callers, h.readiness, h.directory, h.peers, h.metrics, strings.TrimPrefix(server.URL, "http://"), m.memoryMB, m.descriptors, stopWindow))
	h.resolve = func(c *http.Client) error {
		_, err := platformtest.Resolve(t.Context(), c, h.directory, platformtest.Location{Name: hostname, Zone: "west-1", Region: "west"})
		return err
	}
	h.waitReady(t)
	return h
}
