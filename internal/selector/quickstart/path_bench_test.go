package quickstart

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// BenchmarkPath measures a request on three paths: directly to a stand-in
// upstream, through one host to an upstream in its zone, and through two hosts to
// an upstream in another zone.
func BenchmarkPath(b *testing.B) {
	system, err := Start(context.Background(), Options{Log: zerolog.Nop()})
	require.NoError(b, err)
	defer system.Close()
	s := &session{t: nil, system: system}
	for _, u := range system.Upstreams {
		u.Latency = 0
	}
	entryURL := "http://" + system.Servers[0].CallerAddr
	directURL := ""
	for i, u := range system.Upstreams {
		if u.Name == "planning-costa-a-1" {
			directURL = "http://" + system.UpstreamAddrs[i]
		}
	}
	b.Run("straight", func(b *testing.B) { benchGet(b, directURL+"/x") })
	applySelector(b, s, "zone=costa-a")
	b.Run("local", func(b *testing.B) { benchGet(b, entryURL+"/s/planning/x") })
	applySelector(b, s, "zone=sierra-b")
	b.Run("hop", func(b *testing.B) { benchGet(b, entryURL+"/s/planning/x") })
}

// applySelector changes the configuration so that all requests for the planning
// service go to upstreams that match the selector.
func applySelector(b *testing.B, s *session, selector string) {
	doc := "[[rule]]\nname = \"planning-costa\"\nservice = \"planning\"\nselector = \"" + selector + "\"\nshare = 1.0\n" +
		"[[rule]]\nname = \"planning-rest\"\nservice = \"planning\"\nselector = \"tier=none\"\nshare = 0.0\n"
	status, body := s.submit(b, doc)
	require.Equal(b, http.StatusOK, status, body)
}

// benchGet measures GET requests to a URL and reports latencies and throughput.
func benchGet(b *testing.B, url string) {
	b.ReportAllocs()
	latency := hdrhistogram.New(1, int64(time.Minute), 3)
	for b.Loop() {
		start := time.Now()
		resp, err := http.Get(url)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			b.Fatal(resp.Status)
		}
		_ = latency.RecordValue(int64(time.Since(start)))
	}
	b.ReportMetric(float64(latency.ValueAtPercentile(50))/1e3, "p50-us")
	b.ReportMetric(float64(latency.ValueAtPercentile(99))/1e3, "p99-us")
	b.ReportMetric(float64(latency.TotalCount())/b.Elapsed().Seconds(), "requests/s")
}
