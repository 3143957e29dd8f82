package fleet

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/upstream"
	"cairndock/internal/peer"
	"cairndock/internal/telemetry"
)

// zoneHost is a host of a zone whose balancer receives load reports.
type zoneHost struct {
	*Fleet
	balancer  *balance.Balancer
	upstreams []*upstream.Upstream
	byKey     map[uint64]upstream.Run
	next      int
}

func (z *zoneHost) LoadReports(maxAge time.Duration, now time.Time) []balance.LoadReport {
	return z.balancer.LoadReports(maxAge, now)
}

func (z *zoneHost) MergeLoadReports(reports []balance.LoadReport, now time.Time) {
	z.balancer.MergeLoadReports(reports, now)
}

func (z *zoneHost) RunByKey(key uint64, _ time.Time) (upstream.Run, bool) {
	run, ok := z.byKey[key]
	return run, ok
}

// newZoneHost returns the first host of a zone that knows all others as alive.
func newZoneHost(hosts, upstreams int, sharesLoads bool) *zoneHost {
	policy := balance.DefaultPolicy()
	policy.EvenLoad = sharesLoads
	z := &zoneHost{balancer: balance.New(balance.Location{}, nil, nil, policy), byKey: map[uint64]upstream.Run{}}
	for i := range upstreams {
		u := &upstream.Upstream{Registration: upstream.Registration{ID: fmt.Sprintf("plans-svc-%d", i), StartedAt: 1764722400123}}
		z.upstreams = append(z.upstreams, u)
		z.byKey[RunKey(u.Run())] = u.Run()
	}
	// The status of a host without recent changes.
	status := Status{Ready: true, TakesIndirect: true, Rate: 40, Changes: []int64{70000, 70001, 0}, Eras: []int64{1, 1, 1}, Fresh: true}
	o := Options{Self: zoneMember(0), Regions: []string{wireHost.Region}, Report: noopReporter{}, Metrics: telemetry.NewMetrics(), Status: func() Status { return status }}
	if sharesLoads {
		o.Loads = z
	}
	z.Fleet = New(o)
	for i := 1; i < hosts; i++ {
		z.members.recordHeartbeat(zoneMember(i), status, time.Now())
	}
	return z
}

func zoneMember(i int) Host {
	h := wireHost
	h.Name, h.Incarnation = fmt.Sprintf("host-%d", i), "01JE8Q5K6N2V7M4T9WXYZABCDE"
	return h
}

// observe lets the host receive reports from upstreams in turn, until a time.
func (z *zoneHost) observe(count int, until time.Time, every time.Duration) {
	for i := range count {
		z.balancer.ObserveLoad(z.upstreams[z.next%len(z.upstreams)], 2, 1, until.Add(-time.Duration(count-1-i)*every))
		z.next++
	}
}

// cpuTime returns the CPU time of this process, garbage collection included.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkHeartbeatWithinAZone measures the CPU time of a host for one exchange with a host of
// its zone, which is to encode a heartbeat and to handle one with as many reports, all of them new,
// and the size of the heartbeat. The connection is not included. The host sends its heartbeats evenly over an interval, in virtual time, and receives
// reports from upstreams at a given rate meanwhile.
func BenchmarkHeartbeatWithinAZone(b *testing.B) {
	for _, hosts := range []int{16, 110} {
		for _, rate := range []int{0, 25, 170, 1000} {
			name := fmt.Sprintf("%d hosts, off", hosts)
			if rate > 0 {
				name = fmt.Sprintf("%d hosts, %d reports per second", hosts, rate)
			}
			b.Run(name, func(b *testing.B) { benchmarkHeartbeats(b, hosts, rate) })
		}
	}
}

func benchmarkHeartbeats(b *testing.B, hosts, rate int) {
	const upstreams = 1000
	z, receiver := newZoneHost(hosts, upstreams, rate > 0), newZoneHost(hosts, upstreams, rate > 0)
	for _, u := range receiver.upstreams {
		receiver.balancer.ObserveLoad(u, 2, 1, time.Now().Add(-time.Minute)) // it has met each of them
	}
	peers := z.members.peersByName(z.members.indexed().names)
	step := heartbeatInterval / time.Duration(len(peers))
	now, bytes, reports, due := time.Now(), 0, 0, 0.0
	began := cpuTime(b)
	for i := 0; b.Loop(); i++ {
		to := peers[i%len(peers)].host
		now = now.Add(step)
		if due += float64(rate) * step.Seconds(); due >= 1 {
			z.observe(int(due), now, step/time.Duration(due))
			due -= float64(int(due))
		}
		request, sent := z.withLoads(heartbeat{Host: z.options.Self, Status: z.status()}, to, now)
		payload, err := peer.Encode(request)
		require.NoError(b, err)
		received, err := peer.Decode[heartbeat](payload)
		require.NoError(b, err)
		received.Host = to
		receiver.recordHeartbeat(received)
		z.recordSentLoads(to.Name, sent)
		bytes += len(payload)
		reports += sent.count
	}
	b.ReportMetric(float64(cpuTime(b)-began)/float64(b.N), "cpu-ns/heartbeat")
	b.ReportMetric(float64(bytes)/float64(b.N), "bytes/heartbeat")
	b.ReportMetric(float64(reports)/float64(b.N), "reports/heartbeat")
}

// BenchmarkLoadSnapshot measures the work that is shared by the heartbeats of loadSnapshotTTL.
func BenchmarkLoadSnapshot(b *testing.B) {
	for _, upstreams := range []int{388, 1000, 10000} {
		b.Run(fmt.Sprintf("%d upstreams", upstreams), func(b *testing.B) {
			z, now := newZoneHost(1, upstreams, true), time.Now()
			z.observe(upstreams, now, time.Millisecond)
			for b.Loop() {
				z.loads.reset()
				z.loads.current(z, now)
			}
		})
	}
}
