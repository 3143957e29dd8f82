package load

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestOptionsAreBounded(t *testing.T) {
	good := Options{Entry: "127.0.0.1:1", Duration: time.Second, Classes: []Class{{Rate: 1}}}
	require.NoError(t, good.Check())
	cases := map[string]func(o *Options){
		"not loopback":          func(o *Options) { o.Entry = "10.0.0.1:80" },
		"name":                  func(o *Options) { o.Entry = "example.test:80" },
		"upstream not loopback": func(o *Options) { o.Upstreams = []string{"192.0.2.1:80"} },
		"too long":              func(o *Options) { o.Duration = maxDuration + 1 },
		"endless":               func(o *Options) { o.Duration = 0 },
		"too fast":              func(o *Options) { o.Classes = []Class{{Rate: maxRate + 1}} },
		"nothing":               func(o *Options) { o.Classes = nil },
	}
	for name, change := range cases {
		o := good
		change(&o)
		require.Error(t, o.Check(), name)
	}
}

func TestArrivalsFollowTheRamp(t *testing.T) {
	c := Class{Rate: 100, Ramp: 2 * time.Second}
	require.Equal(t, 2*time.Second, dueAt(c, 100), "the average rate during the ramp is half the rate")
	require.Equal(t, 3*time.Second, dueAt(c, 200))
	require.Equal(t, time.Second, dueAt(Class{Rate: 100}, 100))
}

// fakeSystem starts a server whose list of hosts contains only itself. It returns
// the server's mux and address.
func fakeSystem(t *testing.T) (*http.ServeMux, string) {
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	addr := server.Listener.Addr().String()
	mux.HandleFunc("/v1/entries", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]any{"entries": []map[string]string{{"addr": addr}}})
	})
	return mux, addr
}

// TestViolationsAreFound guards against violations that the report misses. The
// system reports not-run for a request that its ledger shows as run twice, and
// requests above the slots.
func TestViolationsAreFound(t *testing.T) {
	mux, addr := fakeSystem(t)
	mux.HandleFunc("/v1/tickets", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"ticket":"t"}`)) })
	mux.HandleFunc("/s/", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Cairndock-Verdict", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	mux.HandleFunc("/ledger", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("tickets") {
			_, _ = w.Write([]byte(`{"t":2}`))
			return
		}
		_, _ = w.Write([]byte(`{"over":3}`))
	})
	report, err := Run(context.Background(), Options{
		Entry: addr, Duration: 50 * time.Millisecond, Upstreams: []string{addr},
		Classes: []Class{{Name: "bookings", Service: "s", Method: "POST", Path: "/", Rate: 100, Ticket: true}},
	})
	require.NoError(t, err)
	require.True(t, report.HasViolations())
	require.Zero(t, report.Wrong)
	require.Equal(t, 1, report.RanTwice)
	require.Equal(t, 1, report.RanDespiteNotRun)
	require.Equal(t, 3, report.Over)
}

// TestWrongResponsesAreFound guards against a response to another request that
// goes unnoticed. The system sends the same echo to every request.
func TestWrongResponsesAreFound(t *testing.T) {
	mux, addr := fakeSystem(t)
	mux.HandleFunc("/s/", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"path":"/tracks/1"}`)) })
	report, err := Run(context.Background(), Options{
		Entry: addr, Duration: 50 * time.Millisecond,
		Classes: []Class{{Name: "lookups", Service: "s", Method: "GET", Path: "/tracks/%d", Rate: 100, Echo: true}},
	})
	require.NoError(t, err)
	require.Equal(t, report.Results[0].Offered-1, report.Wrong, "all but the request with this path")
}
