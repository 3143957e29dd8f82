package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"cairndock/internal/httpserver/httpservertest"
	"cairndock/internal/peer"
	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry"
	"cairndock/internal/selector/servesettings"
	"cairndock/internal/selector/store"
	"cairndock/internal/settings"
)

const (
	loopback  = "127.0.0.1:0"
	testToken = "0123456789abcdef"
	// testDoc has an upstream with one slot in each zone. While zone b has no
	// host, a change stays pending.
	testDoc = `
[[service]]
name = "s"
timeout = "10s"
max_timeout = "10s"
[[zone]]
name = "a"
region = "r"
[[zone]]
name = "b"
region = "r"
[[upstream]]
name = "up"
service = "s"
zone = "a"
addr = %q
slots = 1
[[upstream]]
name = "up-b"
service = "s"
zone = "b"
addr = %q
slots = 1
[[rule]]
name = "all"
service = "s"
selector = ""
share = 1.0
`
)

// testServer is a server of one host. The upstream runs a test's handler.
type testServer struct {
	*Server
	t *testing.T
	// readDelay delays the server's reads on connections to delayedAddr, in
	// nanoseconds.
	readDelay   atomic.Int64
	delayedAddr net.Addr
	memory      *store.Memory
}

// startServer starts the host of zone a and waits until it has its slot.
func startServer(t *testing.T, stop servesettings.Stop, upstream http.HandlerFunc) *testServer {
	t.Helper()
	memory := store.NewMemory()
	var addrs []any
	for _, name := range []string{"up", "up-b"} {
		up := httptest.NewServer(upstream)
		t.Cleanup(up.Close)
		memory.SetHost(name, store.Live)
		addrs = append(addrs, up.Listener.Addr().String())
	}
	appendConfig(t, memory, fmt.Sprintf(testDoc, addrs...))
	s := &testServer{Server: startHost(t, memory, "a", stop), t: t, memory: memory}
	s.listenDelayed()
	return s
}

// startBoth is startServer with an additional host of zone b. Each host forwards
// requests for which it has no slot to the other host.
func startBoth(t *testing.T, stop servesettings.Stop, upstream http.HandlerFunc) (s *testServer, other *Server) {
	t.Helper()
	s = startServer(t, stop, upstream)
	other = startHost(t, s.memory, "b", stop)
	require.Eventually(t, func() bool { return hasFree(s.Server, "b") && hasFree(other, "a") },
		10*time.Second, 10*time.Millisecond, "the hosts must discover each other")
	return s, other
}

// hasFree reports whether the status of a host shows a free slot in the other
// host's zone.
func hasFree(s *Server, zone string) bool {
	for _, z := range s.Host.Status().Zones {
		if z.Zone == zone {
			return z.Up == 1 && z.Free == 1
		}
	}
	return false
}

func startHost(t *testing.T, memory *store.Memory, zone string, stop servesettings.Stop) *Server {
	t.Helper()
	memory.SetHost("host-"+zone, store.Live)
	set := servesettings.Settings{
		Host:      settings.Host{Name: "host-" + zone, Zone: zone, Region: "r"},
		Callers:   servesettings.Callers{Listen: loopback},
		Operators: servesettings.Operators{Listen: loopback, Token: testToken},
		Peers:     servesettings.Peers{Listen: loopback},
		Platform:  servesettings.Platform{CallsPerSecond: 100},
		Stop:      stop,
	}
	// Prepare fails because the in-memory platform has no address.
	_ = Prepare(&set)
	s, err := Start(t.Context(), entry.Options{
		Settings: set, Table: memory, Objects: memory, Hosts: memory, Transport: peer.TCP((&net.Dialer{}).DialContext),
		Log: zerolog.Nop(), Traces: sdktrace.NewTracerProvider(), Seed: 1,
	})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	require.Eventually(t, func() bool {
		st := s.Host.Status()
		return st.Ready && len(st.Services) == 1 && st.Services[0].Held == 1
	}, 10*time.Second, 10*time.Millisecond, "the host must have its slot")
	return s
}

func appendConfig(t *testing.T, memory *store.Memory, text string) {
	t.Helper()
	doc, err := config.ParseDocument([]byte(text))
	require.NoError(t, err)
	change, err := doc.Change("first", 0)
	require.NoError(t, err)
	_, _, err = config.NewLog(memory, memory).Append(t.Context(), config.NewState(), change)
	require.NoError(t, err)
}

// listenDelayed serves clients at an additional address with delayed reads.
func (s *testServer) listenDelayed() {
	s.t.Helper()
	l, err := net.Listen("tcp", loopback)
	require.NoError(s.t, err)
	s.delayedAddr = l.Addr()
	go func() {
		_ = serve(s.callers, httpservertest.LateListener{Listener: l, Late: &s.readDelay}, servesettings.TLS{})
	}()
}

// client is a client's connection.
type client struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (s *testServer) connect(address string) *client {
	s.t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = c.Close() })
	require.NoError(s.t, c.SetDeadline(time.Now().Add(8*time.Second)))
	return &client{c, s.t, bufio.NewReader(c)}
}

func (c *client) write(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(c.t, err)
}

// response reads a complete response.
func (c *client) response() (*http.Response, string) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err, "the connection was closed without a response")
	body, err := io.ReadAll(resp.Body)
	require.NoError(c.t, err)
	return resp, string(body)
}

// stop stops the server in a goroutine. The channel receives the report.
func (s *testServer) stop() <-chan entry.StopReport {
	report := make(chan entry.StopReport, 1)
	go func() { report <- s.Stop(s.t.Context()) }()
	return report
}

func stopAfter(grace, window time.Duration) servesettings.Stop {
	return servesettings.Stop{Grace: settings.Duration(grace), Window: settings.Duration(window)}
}
