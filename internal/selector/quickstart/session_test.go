package quickstart

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"cairndock/internal/selector/entry/configsync"
	"cairndock/internal/selector/entry/directory"
	"cairndock/internal/selector/server"
	"cairndock/internal/selector/standin"
	"cairndock/internal/telemetry"
)

// session records the responses that a client and an operator receive.
type session struct {
	t      *testing.T
	system *System
	spans  *tracetest.SpanRecorder
	out    bytes.Buffer
}

func TestMain(m *testing.M) {
	telemetry.UseW3C()
	os.Exit(m.Run())
}

func newSession(t *testing.T) *session {
	spans := tracetest.NewSpanRecorder()
	tp := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans))
	system, err := Start(context.Background(), Options{Log: zerolog.Nop(), Traces: tp})
	require.NoError(t, err)
	t.Cleanup(system.Close)
	return &session{t: t, system: system, spans: spans}
}

// recordf appends a line to the output that is compared with the golden file.
func (s *session) recordf(format string, args ...any) { fmt.Fprintf(&s.out, format+"\n", args...) }

// waitForAll waits until a host lists every host to clients. A host whose heartbeat
// is late is temporarily missing from the list.
func (s *session) waitForAll(host string) {
	require.Eventually(s.t, func() bool {
		for _, srv := range s.system.Servers {
			if srv.Host.Self().Host != host {
				continue
			}
			body, err := srv.Host.EntriesFor(planning, netip.MustParseAddr("127.0.0.1"))
			var e directory.Entries
			return err == nil && json.Unmarshal(body, &e) == nil && len(e.Entries) == len(s.system.Servers)
		}
		return false
	}, 30*time.Second, 10*time.Millisecond)
}

// clientAddr returns the client address of a host.
func (s *session) clientAddr(host string) string {
	for _, srv := range s.system.Servers {
		if srv.Host.Self().Host == host {
			return srv.CallerAddr
		}
	}
	s.t.Fatalf("no host %s", host)
	return ""
}

// request sends a request, records the parts of the response that are the same in
// every run, and returns the body.
func (s *session) request(host, method, path string, header map[string]string, body string) []byte {
	req, err := http.NewRequest(method, "http://"+s.clientAddr(host)+path, strings.NewReader(body))
	require.NoError(s.t, err)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(s.t, err)
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	require.NoError(s.t, err)
	zone, _, _ := strings.Cut(resp.Header.Get("Cairndock-Upstream"), "/")
	s.recordf("%s %s via %s -> %d verdict=%q zone=%q retry-after=%q type=%s", method, path, host, resp.StatusCode,
		resp.Header.Get("Cairndock-Verdict"), zone, resp.Header.Get("Retry-After"), resp.Header.Get("Content-Type"))
	return out
}

// apply submits a change, waits until it is in force everywhere and records the
// result.
func (s *session) apply(doc string) {
	status, body := s.submit(s.t, doc)
	var a configsync.Applied
	require.NoError(s.t, json.Unmarshal([]byte(body), &a))
	s.recordf("PUT /v1/config -> %d %s revision %d", status, a.State, a.Revision)
}

// submit submits a change that is based on the revision in force. It returns the
// status and body of the response.
func (s *session) submit(t require.TestingT, doc string) (int, string) {
	first := s.system.Servers[0]
	req, err := http.NewRequest(http.MethodPut, "http://"+first.OperatorAddr+"/v1/config", strings.NewReader(doc))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+s.system.Token)
	req.Header.Set("If-Match", fmt.Sprint(first.Host.Status().Revision))
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(body)
}

// runs returns how often the upstreams ran a ticket's request.
func (s *session) runs(ticket string) int {
	n := 0
	for _, u := range s.system.Upstreams {
		n += u.Runs(ticket)
	}
	return n
}

// trace records the names of the spans of a client's trace, from parent to child.
func (s *session) trace(id string) {
	var names []string
	require.Eventually(s.t, func() bool {
		names = s.spanChain(id)
		return len(names) >= 5
	}, 10*time.Second, 10*time.Millisecond)
	s.recordf("trace: %s", strings.Join(names, " > "))
}

// spanChain returns the names of the finished spans of a trace, from parent to
// child. The first parent is the client's span, whose id the request carries.
func (s *session) spanChain(id string) []string {
	children := map[string]sdktrace.ReadOnlySpan{}
	for _, span := range s.spans.Ended() {
		if span.SpanContext().TraceID().String() == id {
			children[span.Parent().SpanID().String()] = span
		}
	}
	var names []string
	for parent := "00f067aa0ba902b7"; children[parent] != nil; {
		names = append(names, children[parent].Name())
		parent = children[parent].SpanContext().SpanID().String()
	}
	return names
}

// setFaults sets the faults of the planning service's upstreams in a zone.
func (s *session) setFaults(zone string, f standin.Faults) {
	for _, u := range s.system.Upstreams {
		if strings.HasPrefix(u.Name, "planning-"+zone) {
			u.SetFaults(f)
		}
	}
}

const (
	// onlySierraB sends all requests to the zone sierra-b.
	onlySierraB = `
[[rule]]
name = "planning-costa"
service = "planning"
selector = "zone=sierra-b"
share = 1.0
[[rule]]
name = "planning-rest"
service = "planning"
selector = "zone!=sierra-b"
share = 0.0
cap = 0.0
`
	// spillToCosta lets the region costa serve requests that other rules can't place.
	spillToCosta = `
[[rule]]
name = "planning-rest"
service = "planning"
selector = "region=costa"
share = 0.0
cap = 1.0
`
)

// TestSession compares a complete session over real sockets with its golden file.
// It guards against changes of what clients and operators receive from the system
// as a whole: routing, tickets, limits, verdicts and failover.
func TestSession(t *testing.T) {
	s := newSession(t)

	s.recordf("# which hosts to use")
	var entries directory.Entries
	s.waitForAll("costa-a-1")
	require.NoError(t, json.Unmarshal(s.request("costa-a-1", "GET", "/v1/entries?service=planning", nil, ""), &entries))
	var first []string
	for _, e := range entries.Entries[:3] {
		first = append(first, e.Host)
	}
	slices.Sort(first)
	s.recordf("nearest: %v of %d", first, len(entries.Entries))

	s.recordf("# a lookup over a peer hop, in the caller's trace")
	s.apply(onlySierraB)
	s.request("costa-a-1", "GET", "/s/planning/tracks/7?full=1", map[string]string{
		"Traceparent": "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
	}, "")
	s.trace("4bf92f3577b34da6a3ce929d0e0e4736")

	s.recordf("# a booking with a ticket, and its resend by another host")
	var issued struct {
		Ticket string `json:"ticket"`
	}
	require.NoError(t, json.Unmarshal(s.request("costa-a-1", "POST", "/v1/tickets?service=planning", nil, ""), &issued))
	ticket := map[string]string{"Cairndock-Ticket": issued.Ticket}
	original := s.request("costa-a-1", "POST", "/s/planning/bookings", ticket, `{"block":12}`)
	resent := s.request("austro-b-1", "POST", "/s/planning/bookings", ticket, `{"block":12}`)
	s.recordf("same answer: %v, runs: %d", bytes.Equal(original, resent), s.runs(issued.Ticket))
	s.request("austro-b-1", "POST", "/s/planning/bookings", ticket, `{"block":13}`)

	s.recordf("# a bulk download")
	download := s.request("costa-a-1", "GET", "/s/documents/bytes/3000000", nil, "")
	s.recordf("%d bytes, sha256 %x", len(download), sha256.Sum256(download))

	s.recordf("# bad input")
	s.request("costa-a-1", "GET", "/s/nowhere/x", nil, "")
	s.request("costa-a-1", "GET", "/s/planning/x", map[string]string{"Cairndock-Timeout": "soon"}, "")
	s.request("costa-a-1", "POST", "/s/planning/x", map[string]string{"Cairndock-Ticket": "none"}, "")
	s.request("costa-a-1", "POST", "/s/planning/x", nil, strings.Repeat("x", 300<<10))
	s.request("costa-a-1", "GET", "/s/planning/x", map[string]string{"X-Long": strings.Repeat("x", 20<<10)}, "")

	s.recordf("# the upstreams shed")
	s.setFaults("sierra-b", standin.Faults{Shed: true})
	s.request("costa-a-1", "GET", "/s/planning/tracks/8", nil, "")
	s.setFaults("sierra-b", standin.Faults{})

	s.recordf("# an answer that breaks off is a verdict")
	s.setFaults("sierra-b", standin.Faults{Truncate: true})
	s.request("costa-a-1", "POST", "/s/planning/bookings", nil, "{}")
	s.setFaults("sierra-b", standin.Faults{})

	s.recordf("# the zone fails, and another rule takes over")
	s.failZone("sierra-b")
	s.request("costa-a-1", "GET", "/s/planning/tracks/9", nil, "")
	s.apply(spillToCosta)
	body := s.request("costa-a-1", "GET", "/s/planning/tracks/10", nil, "")
	s.recordf("answered by region %s", regionOf(t, body))

	s.recordf("# the upstreams' ledgers")
	over := 0
	for _, u := range s.system.Upstreams {
		over += u.Ledger().Over
	}
	s.recordf("requests beyond a slot: %d", over)
	goldie.New(t).Assert(t, "session", s.out.Bytes())
}

// failZone closes the hosts of a zone immediately and waits until the first host
// reports the zone as cut off.
func (s *session) failZone(zone string) {
	s.system.Servers = slices.DeleteFunc(s.system.Servers, func(srv *server.Server) bool {
		inZone := srv.Host.Self().Zone == zone
		if inZone {
			srv.Close()
		}
		return inZone
	})
	require.Eventually(s.t, func() bool {
		return slices.Contains(s.system.Servers[0].Host.Status().CutOff, zone)
	}, 30*time.Second, 10*time.Millisecond)
}

// regionOf returns the region in the upstream's name in an echo response.
func regionOf(t *testing.T, body []byte) string {
	var out struct {
		Upstream string `json:"upstream"`
	}
	require.NoError(t, json.Unmarshal(body, &out))
	parts := strings.Split(out.Upstream, "-")
	require.Greater(t, len(parts), 2)
	return parts[1]
}
