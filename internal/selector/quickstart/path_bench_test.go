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

// BenchmarkPath is one request straight to a stand-in upstream, through one
// host to an upstream of its zone, and through two hosts over a peer hop.
func BenchmarkPath(b *testing.B) {
	system, err := Start(context.Background(), Options{Log: zerolog.Nop()})
	require.NoError(b, err)
	defer system.Close()
	s := &session{t: nil, system: system}
	for _, u := range system.Upstreams {
		u.Latency = 0
	}
	first := "http://" + system.Servers[0].CallerAddr
	straight := ""
	for i, u := range system.Upstreams {
		if u.Name == "planning-costa-a-1" {
			straight = "http://" + system.UpstreamAddrs[i]
		}
	}
	b.Run("straight", func(b *testing.B) { benchGet(b, straight+"/x") })
	applyRaw(b, s, "zone=costa-a")
	b.Run("local", func(b *testing.B) { benchGet(b, first+"/s/planning/x") })
	applyRaw(b, s, "zone=sierra-b")
	b.Run("hop", func(b *testing.B) { benchGet(b, first+"/s/planning/x") })
}

func applyRaw(b *testing.B, s *session, selector string) {
	doc := "[[rule]]\nname = \"planning-costa\"\nservice = \"planning\"\nselector = \"" + selector + "\"\nshare = 1.0\n" +
		"[[rule]]\nname = \"planning-rest\"\nservice = \"planning\"\nselector = \"tier=none\"\nshare = 0.0\n"
	status, body := s.put(b, doc)
	require.Equal(b, http.StatusOK, status, body)
}

func benchGet(b *testing.B, url string) {
	b.ReportAllocs()
	latency := hdrhistogram.New(1, int64(time.Minute), 3)
	for b.Loop() {
		began := time.Now()
		resp, err := http.Get(url)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			b.Fatal(resp.Status)
		}
		_ = latency.RecordValue(int64(time.Since(began)))
	}
	b.ReportMetric(float64(latency.ValueAtPercentile(50))/1e3, "p50-us")
	b.ReportMetric(float64(latency.ValueAtPercentile(99))/1e3, "p99-us")
	b.ReportMetric(float64(latency.TotalCount())/b.Elapsed().Seconds(), "requests/s")
}
