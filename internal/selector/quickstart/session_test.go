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

// session records what one client and one operator receive.
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

func (s *session) say(format string, args ...any) { fmt.Fprintf(&s.out, format+"\n", args...) }

// waitForAll waits until a host names every host to clients: one whose heartbeat
// was late is left out for a moment.
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

func (s *session) server(host string) string {
	for _, srv := range s.system.Servers {
		if srv.Host.Self().Host == host {
			return srv.CallerAddr
		}
	}
	s.t.Fatalf("no host %s", host)
	return ""
}

// ask sends a request and records what does not depend on chance.
func (s *session) ask(host, method, path string, header map[string]string, body string) []byte {
	req, err := http.NewRequest(method, "http://"+s.server(host)+path, strings.NewReader(body))
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
	s.say("%s %s via %s -> %d verdict=%q zone=%q retry-after=%q type=%s", method, path, host, resp.StatusCode,
		resp.Header.Get("Cairndock-Verdict"), zone, resp.Header.Get("Retry-After"), resp.Header.Get("Content-Type"))
	return out
}

// apply submits a change and waits until it is in force everywhere.
func (s *session) apply(doc string) {
	status, body := s.put(s.t, doc)
	var a configsync.Applied
	require.NoError(s.t, json.Unmarshal([]byte(body), &a))
	s.say("PUT /v1/config -> %d %s revision %d", status, a.State, a.Revision)
}

// put submits a change based on the revision in force.
func (s *session) put(t require.TestingT, doc string) (int, string) {
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

func (s *session) runs(ticket string) int {
	n := 0
	for _, u := range s.system.Upstreams {
		n += u.Runs(ticket)
	}
	return n
}

// trace records the spans of a client's trace, in the order of the hops.
func (s *session) trace(id string) {
	var parts []string
	require.Eventually(s.t, func() bool {
		parts = s.chain(id)
		return len(parts) >= 5
	}, 10*time.Second, 10*time.Millisecond)
	s.say("trace: %s", strings.Join(parts, " > "))
}

func (s *session) chain(id string) []string {
	children := map[string]sdktrace.ReadOnlySpan{}
	for _, span := range s.spans.Ended() {
		if span.SpanContext().TraceID().String() == id {
			children[span.Parent().SpanID().String()] = span
		}
	}
	var parts []string
	for parent := "00f067aa0ba902b7"; children[parent] != nil; {
		parts = append(parts, children[parent].Name())
		parent = children[parent].SpanContext().SpanID().String()
	}
	return parts
}

func (s *session) faults(zone string, f standin.Faults) {
	for _, u := range s.system.Upstreams {
		if strings.HasPrefix(u.Name, "planning-"+zone) {
			u.SetFaults(f)
		}
	}
}

const (
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
	spill = `
[[rule]]
name = "planning-rest"
service = "planning"
selector = "region=costa"
share = 0.0
cap = 1.0
`
)

// TestSession compares a whole session over real sockets with its golden file.
func TestSession(t *testing.T) {
	s := newSession(t)

	s.say("# which hosts to use")
	var entries directory.Entries
	s.waitForAll("costa-a-1")
	require.NoError(t, json.Unmarshal(s.ask("costa-a-1", "GET", "/v1/entries?service=planning", nil, ""), &entries))
	var first []string
	for _, e := range entries.Entries[:3] {
		first = append(first, e.Host)
	}
	slices.Sort(first)
	s.say("nearest: %v of %d", first, len(entries.Entries))

	s.say("# a lookup over a peer hop, in the caller's trace")
	s.apply(onlySierraB)
	s.ask("costa-a-1", "GET", "/s/planning/tracks/7?full=1", map[string]string{
		"Traceparent": "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
	}, "")
	s.trace("4bf92f3577b34da6a3ce929d0e0e4736")

	s.say("# a booking with a ticket, and its resend by another host")
	var minted struct {
		Ticket string `json:"ticket"`
	}
	require.NoError(t, json.Unmarshal(s.ask("costa-a-1", "POST", "/v1/tickets?service=planning", nil, ""), &minted))
	ticket := map[string]string{"Cairndock-Ticket": minted.Ticket}
	one := s.ask("costa-a-1", "POST", "/s/planning/bookings", ticket, `{"block":12}`)
	two := s.ask("austro-b-1", "POST", "/s/planning/bookings", ticket, `{"block":12}`)
	s.say("same answer: %v, runs: %d", bytes.Equal(one, two), s.runs(minted.Ticket))
	s.ask("austro-b-1", "POST", "/s/planning/bookings", ticket, `{"block":13}`)

	s.say("# a bulk download")
	bundle := s.ask("costa-a-1", "GET", "/s/documents/bytes/3000000", nil, "")
	s.say("%d bytes, sha256 %x", len(bundle), sha256.Sum256(bundle))

	s.say("# bad input")
	s.ask("costa-a-1", "GET", "/s/nowhere/x", nil, "")
	s.ask("costa-a-1", "GET", "/s/planning/x", map[string]string{"Cairndock-Timeout": "soon"}, "")
	s.ask("costa-a-1", "POST", "/s/planning/x", map[string]string{"Cairndock-Ticket": "none"}, "")
	s.ask("costa-a-1", "POST", "/s/planning/x", nil, strings.Repeat("x", 300<<10))
	s.ask("costa-a-1", "GET", "/s/planning/x", map[string]string{"X-Long": strings.Repeat("x", 20<<10)}, "")

	s.say("# the upstreams shed")
	s.faults("sierra-b", standin.Faults{Shed: true})
	s.ask("costa-a-1", "GET", "/s/planning/tracks/8", nil, "")
	s.faults("sierra-b", standin.Faults{})

	s.say("# an answer that breaks off is a verdict")
	s.faults("sierra-b", standin.Faults{Truncate: true})
	s.ask("costa-a-1", "POST", "/s/planning/bookings", nil, "{}")
	s.faults("sierra-b", standin.Faults{})

	s.say("# the zone fails, and another rule takes over")
	s.failZone("sierra-b")
	s.ask("costa-a-1", "GET", "/s/planning/tracks/9", nil, "")
	s.apply(spill)
	body := s.ask("costa-a-1", "GET", "/s/planning/tracks/10", nil, "")
	s.say("answered by region %s", regionOf(t, body))

	s.say("# the upstreams' ledgers")
	over := 0
	for _, u := range s.system.Upstreams {
		over += u.Ledger().Over
	}
	s.say("requests beyond a slot: %d", over)
	goldie.New(t).Assert(t, "session", s.out.Bytes())
}

// failZone kills the zone's hosts and waits until the first host notices.
func (s *session) failZone(zone string) {
	s.system.Servers = slices.DeleteFunc(s.system.Servers, func(srv *server.Server) bool {
		dead := srv.Host.Self().Zone == zone
		if dead {
			srv.Close()
		}
		return dead
	})
	require.Eventually(s.t, func() bool {
		return slices.Contains(s.system.Servers[0].Host.Status().CutOff, zone)
	}, 30*time.Second, 10*time.Millisecond)
}

func regionOf(t *testing.T, body []byte) string {
	var out struct {
		Upstream string `json:"upstream"`
	}
	require.NoError(t, json.Unmarshal(body, &out))
	parts := strings.Split(out.Upstream, "-")
	require.Greater(t, len(parts), 2)
	return parts[1]
}
