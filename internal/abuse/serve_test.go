package abuse

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/call"
	"cairndock/internal/selector/config"
	"cairndock/internal/selector/standin"
	"cairndock/internal/selector/store"
	"cairndock/internal/testaddr"
)

// serveSettings is the template of the settings of a host of `cairndock serve`.
const serveSettings = `
[host]
name = "host-1"
zone = "west-1"
region = "west"
[callers]
listen = %q
[operators]
listen = %q
token = %q
[peers]
listen = %q
[platform]
table_endpoint = %q
object_endpoint = %q
hosts_url = %q
table = %q
bucket = %q
region = %q
access_key = %q
secret_key = %q
[stop]
window = %q
grace = "200ms"
[resources]
memory_mb = %d
descriptors = %d
`

const (
	// token is the operators' token.
	token = "a-token-of-operators"
	// serveMaxBody is the default of callers.max_body.
	serveMaxBody = 256 << 10
)

// startServe starts a host of `cairndock serve` and waits until it serves.
func startServe(t *testing.T, m machine) *host {
	t.Helper()
	memory := store.NewMemory()
	platform, err := standin.Platform{Memory: memory}.Start()
	require.NoError(t, err)
	t.Cleanup(platform.Close)
	doc := config.Document{
		Zones: []config.Zone{{Name: "west-1", Region: "west"}},
		Services: []config.Service{{
			Name: "work", Class: config.Interactive, Repeat: config.RepeatSafe, Prefer: config.PreferLatency,
			Timeout: config.Duration(callTimeout), MaxTimeout: config.Duration(callTimeout),
		}},
		Rules:  []config.Rule{{Name: "work-all", Service: "work", Selector: "tier=main", Share: 1}},
		Blocks: []config.Block{{CIDR: "127.0.0.0/8", Zone: "west-1"}},
	}
	for i := range upstreamCount {
		name := fmt.Sprint("upstream-", i)
		doc.Upstreams = append(doc.Upstreams, config.Upstream{
			Name: name, Service: "work", Zone: "west-1", Addr: startServeUpstream(t), Slots: upstreamSlots,
			Labels: map[string]string{"tier": "main"}, State: config.StateLive,
		})
		memory.SetHost(name, store.Live)
	}
	change, err := doc.Change("abuse", 0)
	require.NoError(t, err)
	_, _, err = config.NewLog(store.NewTable(platform.Settings), store.NewObjects(platform.Settings)).Append(t.Context(), config.NewState(), change)
	require.NoError(t, err)
	memory.SetHost("host-1", store.Live)

	h := &host{callers: testaddr.Free(t), operators: testaddr.Free(t), peers: testaddr.Free(t), maxBody: serveMaxBody}
	h.readiness, h.metrics = h.operators, h.operators
	h.workURL, h.workHost = "http://"+h.callers, "serve.example"
	h.work, h.large, h.unrouted, h.ready = "/s"+workPath, "/s"+largePath, "/none/item", "/readyz"
	h.setHeaders = func(header http.Header, _ string) { header.Set(call.HeaderTimeout, callTimeout.String()) }
	p := platform.Settings
	h.process = startProcess(t, m, "serve", fmt.Sprintf(serveSettings, h.callers, h.operators, token, h.peers,
		p.TableEndpoint, p.ObjectEndpoint, p.HostsURL, p.Table, p.Bucket, p.Region, p.AccessKey, p.SecretKey, stopWindow, m.memoryMB, m.descriptors))
	h.resolve = func(c *http.Client) error { return get(c, "http://"+h.callers+"/v1/entries?service=work") }
	h.waitReady(t)
	return h
}

// startServeUpstream starts an upstream of `cairndock serve` and returns its address.
func startServeUpstream(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		w.Header().Set(call.HeaderInstance, "1")
		w.Header().Set(call.HeaderLoad, "0.1")
		if r.URL.Path == "/healthz" {
			return
		}
		time.Sleep(upstreamLatency)
		respondToWork(w, r.URL.Path)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}
