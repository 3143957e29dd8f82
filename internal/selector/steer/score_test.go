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
		{"an idle zone costs its round trip", config.PreferLatency, 0, rtt},
		{"crowding grows with the cube of the use", config.PreferLatency, 0.5, rtt + latency/8},
		{"a full zone costs its queue too", config.PreferLatency, 1, rtt + latency + 4*latency},
		{"headroom: a round trip counts for a quarter", config.PreferHeadroom, 0, rtt / 4},
		{"headroom: crowding counts earlier", config.PreferHeadroom, 0.5, rtt/4 + latency},
		{"headroom: a full zone", config.PreferHeadroom, 1, rtt/4 + 4*latency + 4*latency},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			require.InDelta(t, tc.want, expectedTime(tc.prefer, rtt, tc.use, latency), 1e-12)
		})
	}
}

func TestReportedUse(t *testing.T) {
	cases := []struct {
		name   string
		report Report
		since  int
		age    time.Duration
		want   float64
	}{
		{"no report is neutral", Report{}, 0, 0, 0.5},
		{"a fresh report counts whole", Report{Free: 6, Warm: 8, At: 1}, 0, 0, 0.25},
		{"own requests since are added", Report{Free: 6, Warm: 8, At: 1}, 4, 0, 0.75},
		{"a zone without slots is full", Report{At: 1}, 0, 0, 1},
		{"a report fades to neutral", Report{Free: 0, Warm: 8, At: 1}, 0, 1500 * time.Millisecond, 0.75},
		{"a report of 3 s ago is neutral", Report{Free: 0, Warm: 8, At: 1}, 0, 3 * time.Second, 0.5},
		{"an older one too", Report{Free: 0, Warm: 8, At: 1}, 0, time.Hour, 0.5},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			require.InDelta(t, tc.want, reportedUse(tc.report, tc.since, tc.age), 1e-12)
		})
	}
}
