package fleet

import (
	"context"
	"encoding/binary"
	"fmt"
	"math"
	"net"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/upstream"
	"cairndock/internal/peer"
	"cairndock/internal/poison"
	"cairndock/internal/telemetry"
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
	h.PeerAddress = freeAddress(t)
	out := newLoadsHost(h, loads)
	_, err := out.mesh.Listen(h.PeerAddress)
	require.NoError(t, err)
	t.Cleanup(out.mesh.Close)
	return out
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

// Guards against load reports that cross a zone, and against a heartbeat or a response without
// them within one.
func TestLoadReportsStayInTheZone(t *testing.T) {
	now, runs := time.Now(), []upstream.Run{"ua", "ub", "uc"}
	start := func(name, zone string) loadsHost {
		own := map[upstream.Run]time.Time{upstream.Run("u" + name): now}
		return startLoadsHost(t, host(name, zone, "west"), &fakeLoads{own: own, runs: runs})
	}
	a, b, c := start("a", "z"), start("b", "z"), start("c", "y")
	a.exchangeHeartbeat(t.Context(), b.options.Self)
	a.exchangeHeartbeat(t.Context(), c.options.Self)
	c.exchangeHeartbeat(t.Context(), b.options.Self)
	received := func(l *fakeLoads) (runs []upstream.Run) {
		for _, r := range l.merged {
			require.Equal(t, 2, r.Requests)
			require.Less(t, r.Age, time.Second)
			runs = append(runs, r.Run)
		}
		return runs
	}
	require.Equal(t, []upstream.Run{"ua"}, received(b.loads))
	require.Equal(t, []upstream.Run{"ub"}, received(a.loads))
	require.Empty(t, c.loads.merged)
	require.Equal(t, 3, c.Hosts(), "the heartbeats themselves arrived")
	for _, h := range []loadsHost{a, b} {
		require.Eventually(t, func() bool { return h.counted("cairndock_load_reports_sent_total") == 1 }, time.Second, time.Millisecond)
		h.requireCounted(t, "cairndock_load_reports_received_total", 1)
		h.requireCounted(t, "cairndock_load_report_merge_age_seconds_count", 1)
	}
}

// Guards against reports that are sent again with each heartbeat, and against reports that a
// peer never gets because a heartbeat was lost or the peer was restarted.
func TestAPeerGetsTheReportsThatItDoesNotHave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loads := &fakeLoads{own: map[upstream.Run]time.Time{}}
		h, to := newLoadsHost(host("a", "z", "west"), loads), host("b", "z", "west")
		h.members.recordHeartbeat(to, readyStatus, time.Now())
		observe := func(run upstream.Run) {
			time.Sleep(time.Millisecond) // later than the last snapshot
			loads.own[run] = time.Now()
			time.Sleep(loadSnapshotTTL)
		}
		requireSent := func(arrives bool, runs ...upstream.Run) {
			t.Helper()
			b, sent := h.sends(to)
			var want []uint64
			for _, run := range runs {
				want = append(want, RunKey(run))
			}
			require.Equal(t, want, sentRuns(t, b))
			if arrives {
				h.recordSentLoads(to.Name, sent)
			}
		}
		observe("u")
		observe("v")
		requireSent(false, "v", "u")
		requireSent(true, "v", "u")
		requireSent(true)
		observe("u")
		observe("w")
		requireSent(true, "w", "u")
		to.Incarnation = "2"
		h.members.recordHeartbeat(to, readyStatus, time.Now())
		requireSent(true, "w", "u", "v")
		observe("x")
		time.Sleep(loadReportWindow)
		requireSent(true)
	})
}

// Guards against messages and log lines without a bound: a host that receives a thousand
// reports between two heartbeats sends the newest ones, and logs once a minute that it does.
func TestTheNewestReportsOfABoundedNumberAreSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loads := &fakeLoads{own: map[upstream.Run]time.Time{}}
		h, to := newLoadsHost(host("a", "z", "west"), loads), host("b", "z", "west")
		h.members.recordHeartbeat(to, readyStatus, time.Now())
		var newest []uint64
		for range 4 {
			newest = newest[:0]
			for i := range 1000 {
				run := upstream.Run(fmt.Sprint("u-", i))
				loads.own[run] = time.Now().Add(-time.Duration(i) * 100 * time.Microsecond)
				if i < maxLoadReports {
					newest = append(newest, RunKey(run))
				}
			}
			b, sent := h.sends(to)
			require.Equal(t, newest, sentRuns(t, b))
			require.LessOrEqual(t, len(b.Loads), 4096)
			h.recordSentLoads(to.Name, sent)
			time.Sleep(dropLogInterval * 2 / 5)
		}
		h.requireCounted(t, "cairndock_load_reports_sent_total", 4*maxLoadReports)
		h.requireCounted(t, `cairndock_load_reports_dropped_total{reason="count"}`, 4*(1000-maxLoadReports))
		require.Equal(t, []string{
			"b not sent: more than 256 reports since the last heartbeat 744",
			fmt.Sprint("b not sent: more than 256 reports since the last heartbeat ", 3*744),
		}, h.log.lines)
	})
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

// Guards against bad reports that take valid ones, or the rest of the heartbeat, with them,
// and against bad reports that are used. The format has no negative ages and numbers, so that
// a report from the future arrives as one that is too old.
func TestBadLoadReportsAreDropped(t *testing.T) {
	key, ended := RunKey("u"), RunKey("ended@1")
	good := receivedLoad{key, 3, 20 * time.Millisecond}
	for name, c := range map[string]struct {
		message []byte
		// merged is the number of reports used, and reason why others are not.
		merged int
		reason dropReason
		logged bool
	}{
		"valid":                   {encodeLoads(5, good), 1, "", false},
		"run that does not exist": {encodeLoads(5, good, receivedLoad{RunKey("w"), 1, 0}), 1, dropRun, false},
		"run that ended":          {encodeLoads(5, good, receivedLoad{ended, 1, 0}), 1, dropRun, false},
		"from the future":         {encodeLoads(5, good, receivedLoad{key, 1, -time.Millisecond}), 1, dropAge, true},
		"too old":                 {encodeLoads(5, good, receivedLoad{key, 1, maxLoadReportAge}), 1, dropAge, true},
		"message that is too old": {encodeLoads(math.MaxUint16, good), 0, dropAge, true},
		"more than the bound":     {encodeLoads(5, slices.Repeat([]receivedLoad{good}, maxLoadReports+1)...), 0, dropInvalid, true},
		"a part of a report":      {append(encodeLoads(5, good), 1), 0, dropInvalid, true},
		"no age":                  {[]byte{1}, 0, dropInvalid, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newLoadsHost(host("a", "z", "west"), &fakeLoads{runs: []upstream.Run{"u", "ended@2"}})
			h.recordHeartbeat(heartbeat{Host: host("b", "z", "west"), Status: readyStatus, Loads: c.message})
			require.Len(t, h.loads.merged, c.merged)
			if c.merged > 0 {
				require.Equal(t, balance.LoadReport{Run: "u", Requests: 3, Age: 25 * time.Millisecond}, h.loads.merged[0])
			}
			if c.reason != "" {
				h.requireCounted(t, `cairndock_load_reports_dropped_total{reason="`+string(c.reason)+`"}`, 1)
			}
			require.Equal(t, c.logged, len(h.log.lines) == 1, h.log.lines)
			require.True(t, h.members.peers["b"].alive(time.Now()), "the rest of the heartbeat is used")
		})
	}
	h := newLoadsHost(host("a", "z", "west"), &fakeLoads{runs: []upstream.Run{"u"}})
	h.recordHeartbeat(heartbeat{Host: host("c", "y", "west"), Status: readyStatus, Loads: encodeLoads(5, good)})
	require.Empty(t, h.loads.merged)
	h.requireCounted(t, `cairndock_load_reports_dropped_total{reason="zone"}`, 1)
}

// oldHeartbeat is a heartbeat of a version without load reports.
type oldHeartbeat struct {
	Host       Host          `msgpack:"h"`
	Status     Status        `msgpack:"s"`
	Query      hostQuery     `msgpack:"a,omitempty"`
	Hosts      []Host        `msgpack:"l,omitempty"`
	Suspicions poison.Update `msgpack:"p,omitempty"`
}

// oldHost responds to heartbeats as a host of a version without load reports.
type oldHost struct {
	self     Host
	received chan oldHeartbeat
}

func (h oldHost) ServePeer(_ context.Context, _ peer.Hello, _ peer.Kind, payload []byte, w *peer.Responder) {
	b, err := peer.Decode[oldHeartbeat](payload)
	if err != nil {
		fail(w)
		return
	}
	h.received <- b
	respond(w, oldHeartbeat{Host: h.self, Status: readyStatus})
}

// Guards against a heartbeat that hosts of older versions cannot read, or that cannot be read
// from them.
func TestLoadReportsBesideHostsOfOlderVersions(t *testing.T) {
	loads := &fakeLoads{own: map[upstream.Run]time.Time{"u": time.Now()}}
	a := startLoadsHost(t, host("a", "z", "west"), loads)
	old := oldHost{self: host("old", "z", "west"), received: make(chan oldHeartbeat, 1)}
	old.self.PeerAddress = freeAddress(t)
	mesh := peer.NewMesh(peer.Hello{Host: "old", Zone: "z"}, a.options.Transport, old)
	t.Cleanup(mesh.Close)
	_, err := mesh.Listen(old.self.PeerAddress)
	require.NoError(t, err)

	a.exchangeHeartbeat(t.Context(), old.self)
	require.Equal(t, oldHeartbeat{Host: a.options.Self, Status: readyStatus, Query: queryAll}, <-old.received)
	require.True(t, a.members.peers["old"].alive(time.Now()))
	a.requireCounted(t, "cairndock_load_reports_sent_total", 1)

	loads.own["v"] = time.Now().Add(time.Millisecond)
	time.Sleep(loadSnapshotTTL)
	response, err := peer.Call[oldHeartbeat](t.Context(), mesh, a.options.Self.PeerAddress, peer.KindHeartbeat, oldHeartbeat{Host: old.self, Status: readyStatus})
	require.NoError(t, err)
	require.Equal(t, oldHeartbeat{Host: a.options.Self, Status: readyStatus}, response)
	require.Eventually(t, func() bool { return a.counted("cairndock_load_reports_sent_total") == 2 }, time.Second, time.Millisecond)
	require.Empty(t, loads.merged)
}

// Guards against a change of the heartbeat while the setting is off, also toward a host that
// has it on.
func TestWithoutTheSettingHeartbeatsAreAsBefore(t *testing.T) {
	off := newLoadsHost(host("a", "z", "west"), nil)
	off.recordHeartbeat(heartbeat{Host: host("b", "z", "west"), Status: readyStatus, Loads: encodeLoads(0, receivedLoad{RunKey("u"), 1, 0})})
	for _, zone := range []string{"z", "y"} {
		b, sent := off.withLoads(heartbeat{Host: off.options.Self, Status: off.status(), Query: queryAll, Hosts: off.hosts(queryAll)}, host("b", zone, "west"), time.Now())
		require.Equal(t, sentLoads{}, sent)
		got, err := peer.Encode(b)
		require.NoError(t, err)
		want, err := peer.Encode(oldHeartbeat{Host: b.Host, Status: b.Status, Query: b.Query, Hosts: b.Hosts})
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
	var text strings.Builder
	off.metrics.Write(&text)
	require.NotContains(t, text.String(), "cairndock_load_report")
}

// balancerLoads connects a balancer with a fleet, as a gateway does.
type balancerLoads struct {
	*balance.Balancer
	runs fakeLoads
}

func (l *balancerLoads) RunByKey(key uint64, now time.Time) (upstream.Run, bool) {
	return l.runs.RunByKey(key, now)
}

// Guards against a host that decides worse without its zone than without the setting: it must
// go on with the reports that it receives itself, and not with the last ones of others.
func TestAHostCutOffFromItsZoneUsesItsOwnReports(t *testing.T) {
	u := &upstream.Upstream{Registration: upstream.Registration{ID: "u", Region: "west", Capacity: 4}}
	a := startLoadsHost(t, host("a", "z", "west"), &fakeLoads{})
	b := startLoadsHost(t, host("b", "z", "west"), &fakeLoads{own: map[upstream.Run]time.Time{"u": time.Now()}})
	own := balance.New(balance.Location{Zone: "z", Region: "west"}, nil, noEjections{}, balance.DefaultPolicy())
	a.options.Loads = &balancerLoads{own, fakeLoads{runs: []upstream.Run{"u"}}}
	load := func(now time.Time) (float64, time.Duration) {
		c, reason := own.Choose(balance.Query{Key: "k", Upstreams: []*upstream.Upstream{u}, Now: now})
		require.Equal(t, balance.Chosen, reason)
		own.Done(c)
		return c.Load, c.LoadAge
	}
	a.exchangeHeartbeat(t.Context(), b.options.Self)
	now := time.Now()
	known, _ := load(now)
	require.InDelta(t, 0.5, known, 0.1, "the report of the other host")

	b.mesh.Close()
	a.exchangeHeartbeat(t.Context(), b.options.Self)
	own.ObserveLoad(u, 0, 0, now.Add(100*time.Millisecond))
	known, age := load(now.Add(200 * time.Millisecond))
	require.Zero(t, known)
	require.Equal(t, 100*time.Millisecond, age)
	now = now.Add(2 * loadReportWindow)
	known, _ = load(now)
	require.Zero(t, known, "nothing is known any more")
	own.ObserveLoad(u, 1, 0, now)
	require.Len(t, own.LoadReports(loadReportWindow, now), 1, "for hosts that are back")
}

type noEjections struct{}

func (noEjections) Ejected(upstream.Run, time.Time) bool { return false }

// Guards against a change that hosts of other versions cannot decode; see wire_test.go.
func TestLoadReportsWireFormat(t *testing.T) {
	now := time.Now()
	s := newLoadSnapshot([]balance.LoadReport{{Run: "u-1@1764722400123", Requests: 3, Age: 5 * time.Millisecond}, {Run: "u-2", Requests: 300, Age: 1500 * time.Millisecond}}, now)
	message, sent, cut := s.since(time.Time{}, now.Add(40*time.Millisecond))
	require.Equal(t, []int{2, 0}, []int{sent, cut})
	checkWire(t, []wireCase{{
		name: "heartbeat with load reports", value: heartbeat{Host: wireHost, Loads: message}, decode: decodeAs[heartbeat],
		golden: "83a16887a16ea6686f73742d31a17aab636f7374612d647572616ea172a5636f737461a170ad31302e392e302e313a37303030a163ad31302e392e302e313a38303030a169a3692d31a171cd0384a17380a16fc41a00281d2cf1322343c3b100030005aa13b30ac96b9c3e012c05dc",
	}})
	count, reports, err := decodeLoadReports(message)
	require.NoError(t, err)
	require.Equal(t, 2, count)
	require.Equal(t, []receivedLoad{{RunKey("u-1@1764722400123"), 3, 45 * time.Millisecond}, {RunKey("u-2"), 300, 1540 * time.Millisecond}}, slices.Collect(reports))
	var old oldHeartbeat
	payload, err := peer.Encode(heartbeat{Host: wireHost, Loads: message})
	require.NoError(t, err)
	require.NoError(t, msgpack.Unmarshal(payload, &old))
	require.Equal(t, oldHeartbeat{Host: wireHost}, old)
}
