package reach

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/upstream"
)

func TestSuspicion(t *testing.T) {
	for _, c := range []struct {
		name   string
		failed [][2]string // upstream and zone
		want   bool
	}{
		{"upstreams of several zones", [][2]string{{"a", "x"}, {"b", "y"}, {"c", "x"}}, true},
		{"one upstream", [][2]string{{"a", "x"}, {"a", "x"}, {"a", "x"}}, false},
		{"one zone", [][2]string{{"a", "x"}, {"b", "x"}, {"c", "x"}, {"d", "x"}}, false},
		{"two upstreams", [][2]string{{"a", "x"}, {"b", "y"}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := suspicion{}
			for _, f := range c.failed {
				s.add(f[0], f[1])
			}
			require.Equal(t, c.want, s.warranted())
		})
	}
}

func TestNext(t *testing.T) {
	none, one, two := result{sampled: 6}, result{sampled: 6, reached: 1}, result{sampled: 6, reached: 2}
	for _, c := range []struct {
		name     string
		isolated bool
		result   result
		took     time.Duration
		want     bool
	}{
		{"no upstream can be reached", false, none, checkTimeout, true},
		{"a single one can: others may have terminated", false, one, checkTimeout, false},
		{"a single one can: the host stays isolated", true, one, checkTimeout, true},
		{"two can", true, two, checkTimeout, false},
		{"the host had no CPU time", false, none, 2*checkTimeout + maxCheckDelay, false},
		{"the host had no CPU time while isolated", true, none, 2*checkTimeout + maxCheckDelay, true},
		{"too few upstreams", true, result{}, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, next(c.isolated, c.result, c.took))
		})
	}
}

func upstreams(perZone int, zones ...string) []*upstream.Upstream {
	var all []*upstream.Upstream
	for _, zone := range zones {
		for i := range perZone {
			all = append(all, &upstream.Upstream{Registration: upstream.Registration{ID: fmt.Sprint(zone, "-", i), Zone: zone}})
		}
	}
	return all
}

func TestSamples(t *testing.T) {
	for _, c := range []struct {
		name      string
		upstreams []*upstream.Upstream
		// sizes and zones are the numbers of upstreams and zones in the two samples.
		sizes, zones [2]int
	}{
		{"many zones", upstreams(4, "a", "b", "c", "d", "e", "f", "g"), [2]int{6, 18}, [2]int{6, 7}},
		{"two zones", upstreams(9, "a", "b"), [2]int{6, 12}, [2]int{2, 2}},
		{"few upstreams", upstreams(2, "a", "b"), [2]int{4, 0}, [2]int{2, 0}},
		{"one zone", upstreams(9, "a"), [2]int{}, [2]int{}},
		{"two upstreams", upstreams(1, "a", "b"), [2]int{}, [2]int{}},
		{"none", nil, [2]int{}, [2]int{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			first, confirmation := samples(c.upstreams)
			all := map[string]bool{}
			for i, chosen := range [][]*upstream.Upstream{first, confirmation} {
				zones := map[string]bool{}
				for _, u := range chosen {
					require.False(t, all[u.ID])
					all[u.ID], zones[u.Zone] = true, true
				}
				require.Len(t, chosen, c.sizes[i])
				require.Len(t, zones, c.zones[i])
			}
		})
	}
}

// While a region of three is cut off, its hosts reach its upstreams only, and the other hosts
// all others. Each check must sample upstreams that such a host reaches, whichever service the
// upstreams belong to.
func TestASampleHasUpstreamsOfEachRegion(t *testing.T) {
	for _, perZone := range []int{21, 36} {
		all := upstreams(perZone, "west-1", "west-2", "east-1", "east-2", "south-1", "south-2")
		for range 50 {
			first, _ := samples(all)
			regions := map[string]int{}
			for _, u := range first {
				region, _, _ := strings.Cut(u.Zone, "-")
				regions[region]++
			}
			require.Equal(t, map[string]int{"west": 2, "east": 2, "south": 2}, regions)
		}
	}
}

// network is a fake network between a host and its upstreams.
type network struct {
	mu sync.Mutex
	// connect is how connections end.
	connect  func(ctx context.Context) error
	attempts int
	events   []string
	// outage is the duration in the last event.
	outage time.Duration
}

func (n *network) Connect(ctx context.Context, _ *upstream.Upstream) error {
	n.mu.Lock()
	n.attempts++
	connect := n.connect
	n.mu.Unlock()
	return connect(ctx)
}

func (n *network) set(connect func(ctx context.Context) error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.connect = connect
}

func (n *network) Lost(kind, _ string, _ error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.events = append(n.events, "lost "+kind)
}

func (n *network) Regained(kind, _ string, after time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.events = append(n.events, "regained "+kind)
	n.outage = after
}

// attempted returns the number of connections that were tried.
func (n *network) attempted() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.attempts
}

func accepting(context.Context) error { return nil }
func refusing(context.Context) error  { return errors.New("connection refused") }
func silent(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// mostlyTerminated is a network on which every upstream but one of ten has terminated.
func mostlyTerminated() func(context.Context) error {
	var n atomic.Int32
	return func(context.Context) error {
		if n.Add(1)%10 == 0 {
			return nil
		}
		return errors.New("connection refused")
	}
}

// delayed is a network on which the host has no CPU time while it connects.
func delayed(context.Context) error {
	time.Sleep(time.Second)
	return errors.New("i/o timeout")
}

func TestMonitorNoticesTheLossAndTheReturnOfThePath(t *testing.T) {
	for name, cut := range map[string]func(context.Context) error{"refused": refusing, "silent": silent} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &network{connect: accepting}
				all := upstreams(4, "a", "b", "c")
				m := New(Options{Upstreams: func() []*upstream.Upstream { return all }, Connect: n.Connect, Report: n})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go m.Run(ctx)

				before := time.Now()
				n.set(cut)
				time.Sleep(time.Minute)
				require.Zero(t, n.attempted(), "nothing is checked without a failure")
				for _, u := range all[:5] {
					m.RecordUnconnected(u)
				}
				time.Sleep(2*checkTimeout + time.Millisecond)
				require.True(t, m.Isolated())
				require.True(t, m.IsolatedSince(time.Now()))
				time.Sleep(10 * time.Second)
				require.True(t, m.Isolated())
				n.set(accepting)
				time.Sleep(time.Second)
				require.False(t, m.Isolated(), "the path is back for a second")
				require.True(t, m.IsolatedSince(before))
				require.False(t, m.IsolatedSince(time.Now()))
				checked := n.attempted()
				time.Sleep(time.Minute)
				require.Equal(t, checked, n.attempted())
				n.mu.Lock()
				defer n.mu.Unlock()
				require.Equal(t, []string{"lost upstreams", "regained upstreams"}, n.events)
				require.InDelta(t, 10.5, n.outage.Seconds(), 0.5)
			})
		})
	}
}

func TestAHostIsNotIsolatedWhileUpstreamsAcceptConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{connect: accepting}
		all := upstreams(4, "a", "b", "c")
		m := New(Options{Upstreams: func() []*upstream.Upstream { return all }, Connect: n.Connect, Report: n})
		go m.Run(t.Context())
		for range 100 {
			for _, u := range all {
				m.RecordUnanswered(u)
			}
			time.Sleep(100 * time.Millisecond)
		}
		require.False(t, m.Isolated())
		require.LessOrEqual(t, n.attempted(), 21*sampleSize, "one check in each checkInterval")
	})
}

func TestAHostIsNotIsolatedWhileMostUpstreamsHaveTerminated(t *testing.T) {
	n := &network{connect: mostlyTerminated()}
	m := New(Options{Upstreams: func() []*upstream.Upstream { return upstreams(10, "a", "b", "c") }, Connect: n.Connect, Report: n})
	require.False(t, m.Check())
	require.Empty(t, n.events)
}

func TestAHostWithoutCPUTimeIsNotIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{connect: delayed}
		m := New(Options{Upstreams: func() []*upstream.Upstream { return upstreams(4, "a", "b") }, Connect: n.Connect, Report: n})
		require.False(t, m.Check())
		require.Empty(t, n.events)
	})
}

func TestResponsesEndASuspicion(t *testing.T) {
	all := upstreams(1, "a", "b", "c")
	for _, c := range []struct {
		name          string
		record        func(m *Monitor, u *upstream.Upstream)
		newConnection bool
		suspected     bool
	}{
		{"a response after unanswered requests", (*Monitor).RecordUnanswered, false, false},
		{"a response on a new connection after failed connections", (*Monitor).RecordUnconnected, true, false},
		{"a response on an old connection after failed connections", (*Monitor).RecordUnconnected, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := New(Options{})
			c.record(m, all[0])
			c.record(m, all[1])
			m.RecordResponse(c.newConnection)
			c.record(m, all[2])
			require.Equal(t, c.suspected, len(m.suspected) == 1)
			require.Equal(t, c.suspected, m.Suspected())
		})
	}
}

// A check that was already running may have begun before the host lost its path.
func TestACheckBeginsAfterItsCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{connect: func(context.Context) error {
			time.Sleep(100 * time.Millisecond)
			return nil
		}}
		m := New(Options{Upstreams: func() []*upstream.Upstream { return upstreams(4, "a", "b") }, Connect: n.Connect, Report: n})
		go m.Check()
		time.Sleep(50 * time.Millisecond)
		n.set(refusing)
		require.True(t, m.Check())
	})
}
