package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/upstream"
)

// noopObserver drops what a table reports.
type noopObserver struct{}

func (noopObserver) RolloutOrdered(Order, bool)       {}
func (noopObserver) RolloutChanged(Record)            {}
func (noopObserver) RolloutWriteFailed(Record, error) {}
func (noopObserver) RolloutNotReported(string, error) {}

// orders returns the orders in force, of which there is one.
func orders(o Order) map[string]Order { return map[string]Order{o.Service: o} }

// stored returns a record as the store has it.
func stored(o Order, p Phase, revision int64) Record {
	return Record{Order: o, Phase: p, Revision: revision}
}

// testTable is a table whose surroundings the tests set.
type testTable struct {
	*Table
	stale, isolated bool
	inFlight        int
	set             *upstream.Set
}

func newTestTable() *testTable {
	t := &testTable{}
	t.Table = NewTable(TableOptions{
		HostID: 5, Observer: noopObserver{},
		Fresh: func() bool { return !t.stale }, Isolated: func() bool { return t.isolated }, InFlight: func(string, string) int { return t.inFlight },
	})
	registry := upstream.NewRegistry(func(string) time.Duration { return 0 })
	for _, u := range versions(map[string]int{"v1": 4, "v2": 4, "v3": 4}) {
		registry.Put(u.Registration, time.Now())
	}
	t.set = registry.Set()
	return t
}

// use returns the versions that a service's requests may go to.
func (t *testTable) use() []string {
	p := t.Plan("s", t.set)
	var used []string
	for _, version := range []string{"v1", "v2", "v3"} {
		if p.Allows(&upstream.Upstream{Registration: upstream.Registration{SoftwareVersion: version}}) {
			used = append(used, version)
		}
	}
	return used
}

func TestVersionsInUseFollowOrdersAndProgress(t *testing.T) {
	o := testOrder
	again := o
	again.Version = 20
	other := Order{Service: "s", Target: "v3", Duration: o.Duration, Version: 30}
	both := []string{"v1", "v2", "v3"}
	for _, c := range []struct {
		name string
		play func(*testTable)
		want []string
	}{
		{"without an order all are used", func(*testTable) {}, both},
		{"an order that is not recorded yet", func(t *testTable) { t.SetOrders(orders(o)) }, []string{"v1", "v3"}},
		{"a record that is seen before its order", func(t *testTable) { t.PutRecord(stored(o, Shift, 8)) }, []string{"v1", "v3"}},
		{"the order arrives after its record", func(t *testTable) {
			t.PutRecord(stored(o, Shift, 8))
			t.SetOrders(orders(o))
		}, []string{"v2"}},
		{"a withdrawn order", func(t *testTable) {
			t.SetOrders(orders(o))
			t.PutRecord(stored(o, Ramp, 8))
			t.SetOrders(map[string]Order{})
		}, []string{"v1", "v3"}},
		{"a withdrawn order after success", func(t *testTable) {
			t.SetOrders(orders(o))
			r := stored(o, Succeeded, 8)
			t.PutRecord(r.WithReplaced([]string{"v1"}))
			t.SetOrders(map[string]Order{})
		}, []string{"v2", "v3"}},
		{"a restored store does not undo a roll-back", func(t *testTable) {
			t.SetOrders(orders(o))
			t.PutRecord(stored(o, RolledBack, 9))
			t.StoreRestored()
			t.PutRecord(stored(o, Shift, 8))
		}, []string{"v1", "v3"}},
		{"an order that is given again begins anew", func(t *testTable) {
			t.SetOrders(orders(o))
			t.PutRecord(stored(o, Shift, 9))
			t.SetOrders(orders(again))
		}, []string{"v1", "v3"}},
		{"the target of a replaced order stays excluded", func(t *testTable) {
			t.SetOrders(orders(o))
			t.PutRecord(stored(o, Ramp, 9))
			t.SetOrders(orders(other))
		}, []string{"v1"}},
		{"a late row does not undo a later one", func(t *testTable) {
			t.SetOrders(orders(o))
			t.PutRecord(stored(o, Shift, 9))
			t.PutRecord(stored(o, Ramp, 8))
		}, []string{"v2"}},
		{"an isolated host does not know which versions still run", func(t *testTable) {
			t.SetOrders(orders(o))
			t.PutRecord(stored(o, Ramp, 9))
			t.stale, t.isolated = true, true
		}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := newTestTable()
			c.play(table)
			require.Equal(t, c.want, table.use())
		})
	}
}

// While a host cannot learn the progress, the target must get nothing new.
func TestAHostWithAnOutdatedStateSendsNothingToTheTarget(t *testing.T) {
	table := newTestTable()
	table.SetOrders(orders(testOrder))
	r := stored(testOrder, Ramp, 9)
	r.Fraction = 0.5
	table.PutRecord(r)
	require.Equal(t, []string{"v1", "v2", "v3"}, table.use())
	table.stale = true
	require.Equal(t, []string{"v1", "v3"}, table.use())
}

// A roll-out succeeds when no host has a request in flight at another version. A host that has
// confirmed this must not send one there again, also if the target is found to be bad then.
func TestAHostConfirmsOnceNothingIsInFlightElsewhere(t *testing.T) {
	table, now := newTestTable(), time.Now()
	table.SetOrders(orders(testOrder))
	confirmed := func() uint64 { return table.Report(now)["s"].Confirmed }
	suspend := func() { table.Apply(Reply{"s": {Order: testOrder.Version, Suspend: true}}, time.Now()) }
	table.PutRecord(stored(testOrder, Ramp, 8))
	require.Zero(t, confirmed(), "requests still go to other versions")
	table.inFlight = 1
	table.PutRecord(stored(testOrder, Shift, 9))
	require.Zero(t, confirmed())
	suspend()
	require.Equal(t, []string{"v1", "v3"}, table.use(), "the target is bad, and the other versions still run")
	table.inFlight = 0
	require.Zero(t, confirmed())
	table.services["s"].suspendedUntil = time.Time{}
	require.Equal(t, uint64(5), confirmed())
	suspend()
	require.Equal(t, []string{"v2"}, table.use())
	require.Equal(t, uint64(5), confirmed())
}

// Reports of several hosts add up, each host counts once, and a host that ended is dropped.
func TestReportsOfHostsAddUp(t *testing.T) {
	table, now := newTestTable(), time.Now()
	table.SetOrders(orders(testOrder))
	table.PutRecord(stored(testOrder, Shift, 9))
	child := Report{"s": {Order: testOrder.Version, Evidence: usualEvidence(), Confirmed: 7, Revision: 9}}
	table.Receive("a", child, now)
	table.Receive("a", child, now)
	table.Receive("b", Report{"s": {Order: 1, Evidence: usualEvidence()}, "unknown": {}}, now)
	sum := table.Report(now)
	require.Len(t, sum, 1)
	require.Equal(t, uint64(5+7), sum["s"].Confirmed)
	require.Equal(t, 960, sum["s"].Evidence.total().Others.Sent)
	require.Equal(t, uint64(5), table.Report(now.Add(reportTTL))["s"].Confirmed)
}

// Rows of other services change all the time. The plan of a service must not be made anew for
// them, which would take time for each of its upstreams.
func TestAPlanIsMadeAnewOnlyForItsServicesUpstreams(t *testing.T) {
	for _, count := range []int{50, 100, 200, 400} {
		table := newTestTable()
		table.PutRecord(stored(testOrder, Succeeded, 8))
		registry := upstream.NewRegistry(func(string) time.Duration { return 0 })
		put := func(service string, i int) *upstream.Set {
			registry.Put(upstream.Registration{ID: fmt.Sprint(service, i), Service: service, SoftwareVersion: "v2"}, time.Now())
			return registry.Set()
		}
		for i := range count {
			put("s", i)
		}
		plan := table.Plan("s", put("other", 0))
		require.Same(t, plan, table.Plan("s", put("other", 1)))
		changed := table.Plan("s", put("s", count))
		require.NotSame(t, plan, changed)
		require.Len(t, changed.all, count+1)
	}
}
