package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/config"
)

func TestExpectedTime(t *testing.T) {
	const rtt, latency = 0.02, 0.004
	cases := []struct {
		name   string
		prefer config.Prefer
		use    float64
		want   float64
	}{
		{"an idle zone costs its round trip time", config.PreferLatency, 0, rtt},
		{"the load term grows with the cube of the utilization", config.PreferLatency, 0.5, rtt + latency/8},
		{"a full zone also costs the time in its queue", config.PreferLatency, 1, rtt + latency + 4*latency},
		{"headroom: a quarter of the round trip time is used", config.PreferHeadroom, 0, rtt / 4},
		{"headroom: the load term grows earlier", config.PreferHeadroom, 0.5, rtt/4 + latency},
		{"headroom: a full zone", config.PreferHeadroom, 1, rtt/4 + 4*latency + 4*latency},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			require.InDelta(t, tc.want, expectedTime(tc.prefer, rtt, tc.use, latency), 1e-12)
		})
	}
}

func TestReportedUtilization(t *testing.T) {
	cases := []struct {
		name   string
		report Report
		since  int
		age    time.Duration
		want   float64
	}{
		{"without a report the utilization is neutral", Report{}, 0, 0, 0.5},
		{"a fresh report has full weight", Report{Free: 6, Warm: 8, At: 1}, 0, 0, 0.25},
		{"own requests since the report are added", Report{Free: 6, Warm: 8, At: 1}, 4, 0, 0.75},
		{"a zone without slots is full", Report{At: 1}, 0, 0, 1},
		{"an aging report approaches neutral", Report{Free: 0, Warm: 8, At: 1}, 0, 1500 * time.Millisecond, 0.75},
		{"a report of 3 s ago is neutral", Report{Free: 0, Warm: 8, At: 1}, 0, 3 * time.Second, 0.5},
		{"an older report is neutral too", Report{Free: 0, Warm: 8, At: 1}, 0, time.Hour, 0.5},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			require.InDelta(t, tc.want, reportedUtilization(tc.report, tc.since, tc.age), 1e-12)
		})
	}
}
