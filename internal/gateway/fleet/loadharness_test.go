package fleet

import (
	"encoding/binary"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/upstream"
	"cairndock/internal/peer"
	"cairndock/internal/telemetry"
	"cairndock/internal/testaddr"
)

// fakeLoads is a source of fixed reports, and a sink.
type fakeLoads struct {
	// own is when each run's report was received, and runs are the runs that exist.
	own    map[upstream.Run]time.Time
	runs   []upstream.Run
	merged []balance.LoadReport
}

func (l *fakeLoads) LoadReports(maxAge time.Duration, now time.Time) []balance.LoadReport {
	b := balance.New(balance.Location{}, nil, nil, balance.DefaultPolicy())
	for run, at := range l.own {
		b.ObserveLoad(&upstream.Upstream{Registration: upstream.Registration{ID: string(run)}}, 1, 1, at)
	}
	return b.LoadReports(maxAge, now)
}

func (l *fakeLoads) MergeLoadReports(reports []balance.LoadReport, _ time.Time) {
	l.merged = append(l.merged, reports...)
}

func (l *fakeLoads) RunByKey(key uint64, _ time.Time) (upstream.Run, bool) {
	for _, run := range l.runs {
		if RunKey(run) == key {
			return run, true
		}
	}
	return "", false
}

// dropReporter records the log lines about dropped reports.
type dropReporter struct {
	noopReporter
	lines []string
}

func (r *dropReporter) LoadReportsDropped(peer, detail string, reports int) {
	r.lines = append(r.lines, fmt.Sprintf("%s %s %d", peer, detail, reports))
}

// loadsHost is a host that shares load reports.
type loadsHost struct {
	*Fleet
	loads   *fakeLoads
	log     *dropReporter
	metrics *telemetry.Metrics
}

// newLoadsHost returns a host that is not started. Its loads may be nil, as with the setting
// off.
func newLoadsHost(h Host, loads *fakeLoads) loadsHost {
	out := loadsHost{loads: loads, log: &dropReporter{}, metrics: telemetry.NewMetrics()}
	o := Options{
		Self: h, Regions: []string{h.Region}, Registry: newFakeRegistry(), Report: out.log, Metrics: out.metrics,
		Status: func() Status { return readyStatus }, Transport: peer.TCP((&net.Dialer{}).DialContext),
	}
	if loads != nil {
		o.Loads = loads
	}
	out.Fleet = New(o)
	return out
}

// startLoadsHost returns a host that serves peers and sends heartbeats only when a test does.
func startLoadsHost(t *testing.T, h Host, loads *fakeLoads) loadsHost {
	t.Helper()
	h.PeerAddress = testaddr.Free(t)
	out := newLoadsHost(h, loads)
	_, err := out.mesh.Listen(h.PeerAddress)
	require.NoError(t, err)
	t.Cleanup(out.mesh.Close)
	return out
}

// exchange exchanges heartbeats with a peer. It tries again on a busy machine, on which an
// exchange may take longer than heartbeatTimeout.
func (h loadsHost) exchange(t *testing.T, to Host) {
	t.Helper()
	require.Eventually(t, func() bool {
		h.exchangeHeartbeat(t.Context(), to)
		h.mu.Lock()
		defer h.mu.Unlock()
		p := h.members.peers[to.Name]
		return p != nil && p.alive(time.Now())
	}, 10*time.Second, time.Millisecond)
}

// requireCounted requires the value of a metric.
func (h loadsHost) requireCounted(t *testing.T, name string, want int) {
	t.Helper()
	require.Equal(t, want, h.counted(name), name)
}

func (h loadsHost) counted(name string) (value int) {
	var text strings.Builder
	h.metrics.Write(&text)
	_, line, _ := strings.Cut(text.String(), name+" ")
	_, _ = fmt.Sscan(line, &value) // zero if the metric does not exist
	return value
}

// sends returns the heartbeat that a host would send to a peer.
func (h loadsHost) sends(to Host) (heartbeat, sentLoads) {
	return h.withLoads(heartbeat{Host: h.options.Self, Status: readyStatus}, to, time.Now())
}

// sentRuns decodes the keys of the reports in a heartbeat.
func sentRuns(t *testing.T, b heartbeat) []uint64 {
	t.Helper()
	if b.Loads == nil {
		return nil
	}
	_, reports, err := decodeLoadReports(b.Loads)
	require.NoError(t, err)
	var keys []uint64
	for r := range reports {
		keys = append(keys, r.key)
	}
	return keys
}

// encodeLoads encodes a message of an age in milliseconds.
func encodeLoads(ageMS uint16, reports ...receivedLoad) []byte {
	message := binary.BigEndian.AppendUint16(nil, ageMS)
	for _, r := range reports {
		message = binary.BigEndian.AppendUint64(message, r.key)
		message = binary.BigEndian.AppendUint16(message, uint16(r.requests))
		message = binary.BigEndian.AppendUint16(message, uint16(r.age.Milliseconds()))
	}
	return message
}
