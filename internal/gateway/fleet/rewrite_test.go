package fleet

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/watch"
	"cairndock/internal/poison"
)

// eraTable is an empty table of a store in an era.
type eraTable struct{ era atomic.Int64 }

func (e *eraTable) List(context.Context) (watch.Page, error) {
	return watch.Page{Version: watch.Version{Era: e.era.Load(), Number: 1}}, nil
}

func (e *eraTable) Changes(ctx context.Context, _ watch.Version, wait time.Duration) (watch.Page, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return watch.Page{Version: watch.Version{Era: e.era.Load(), Number: 1}}, nil
}

// noopSink drops updates.
type noopSink struct{}

func (noopSink) Apply(watch.Update)                                          {}
func (noopSink) Late(string, time.Duration, int)                             {}
func (noopSink) Lost(string, error)                                          {}
func (noopSink) Regained(string, time.Duration)                              {}
func (noopSink) Refused(string, watch.Version, watch.Version)                {}
func (noopSink) EraBegan(string, watch.Version, watch.Version, watch.Update) {}

// quarantines are Suspicions that consist of quarantines only.
type quarantines []poison.Quarantine

func (quarantines) UpdateFor(poison.Watermarks, time.Time, poison.Scope) poison.Update {
	return poison.Update{}
}
func (quarantines) MergeUpdate(poison.Update, time.Time) poison.Watermarks {
	return poison.Watermarks{}
}
func (quarantines) MergeSecondhand(poison.Update, time.Time) poison.Watermarks {
	return poison.Watermarks{}
}
func (quarantines) Completes(poison.Update) bool                { return true }
func (quarantines) Merge([]poison.Report, time.Time)            {}
func (q quarantines) Quarantines(time.Time) []poison.Quarantine { return q }

// restorableHost is a host that watches a table of a store that is restored from copies.
type restorableHost struct {
	*Fleet
	registry *fakeRegistry
	table    *eraTable
}

func startRestorableHost(t *testing.T, era int64) restorableHost {
	r, table, replica := newFakeRegistry(), &eraTable{}, watch.NewReplica()
	table.era.Store(era)
	r.era = era
	f := New(Options{
		Self: host("w0", "west-0", "west"), Regions: []string{"west"}, Registry: r, Report: noopReporter{}, Status: func() Status { return readyStatus },
		Tables: []Table{{Replica: replica, Store: table}}, Suspicions: quarantines{{Fingerprint: poison.Fingerprint{1}, Report: poison.Report{Fingerprint: poison.Fingerprint{1}}}},
	})
	sources := func() []watch.NamedSource { return []watch.NamedSource{{Name: "store", Source: table}} }
	w := watch.New(replica, sources, func() (watch.Version, time.Duration) { return f.NewestKnown(0) }, noopSink{}, watch.Timing(2*time.Second))
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		synctest.Wait()
	})
	go w.Run(ctx)
	go f.keepRegistered(ctx)
	go f.heartbeatLoop(ctx)
	go f.keepQuarantinesStored(ctx)
	time.Sleep(time.Second)
	return restorableHost{f, r, table}
}

// restore restores the store from a copy that has no rows of hosts.
func (h restorableHost) restore() {
	h.registry.mu.Lock()
	defer h.registry.mu.Unlock()
	clear(h.registry.hosts)
	clear(h.registry.quarantines)
	h.registry.era++
	h.table.era.Add(1)
}

func (h restorableHost) announcements() int64 {
	h.registry.mu.Lock()
	defer h.registry.mu.Unlock()
	return h.registry.versions["w0"]
}

func TestAHostWritesAgainWhatARestoredStoreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startRestorableHost(t, 1)
		require.Equal(t, int64(1), h.announcements())
		for restored := range 2 {
			h.restore()
			require.Empty(t, h.registry.list())
			time.Sleep(maxRewriteDelay + 2*time.Second)
			require.Equal(t, []string{"w0"}, h.registry.list())
			require.Equal(t, 1, h.registry.quarantined())
			require.Equal(t, int64(2+restored), h.announcements(), "one announcement for each restore")
		}
		time.Sleep(time.Minute)
		require.Equal(t, int64(3), h.announcements())
	})
}

func TestAHostThatCannotWriteToARestoredStoreTriesAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startRestorableHost(t, 1)
		h.restore()
		h.registry.mu.Lock()
		h.registry.down = true
		h.registry.mu.Unlock()
		time.Sleep(20 * time.Second)
		require.Empty(t, h.registry.list())
		h.registry.mu.Lock()
		h.registry.down = false
		h.registry.mu.Unlock()
		time.Sleep(rewriteRetryDelay)
		require.Equal(t, []string{"w0"}, h.registry.list())
	})
}

func TestAHostThatStopsDoesNotAnnounceItselfToARestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startRestorableHost(t, 1)
		h.Withdraw(t.Context())
		h.restore()
		time.Sleep(time.Minute)
		require.Empty(t, h.registry.list())
	})
}

func TestAHostAnnouncesItselfOnceToAStoreWithoutEras(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, era := range []int64{0, watch.UnknownEra} {
			h := startRestorableHost(t, era)
			time.Sleep(time.Minute)
			require.Equal(t, int64(1), h.announcements())
		}
	})
}

func TestARelayReportsItsEraWhenItsHistoryWasRemoved(t *testing.T) {
	table, replica := &eraTable{}, watch.NewReplica()
	table.era.Store(2)
	sources := func() []watch.NamedSource { return []watch.NamedSource{{Name: "store", Source: table}} }
	w := watch.New(replica, sources, func() (watch.Version, time.Duration) { return watch.Version{}, 0 }, noopSink{}, watch.Timing(2*time.Second))
	go w.Run(t.Context())
	r := newFakeRegistry()
	a := startFleet(t, r, host("a", "z", "west"), nil, Table{Replica: replica, Store: table})
	b := startFleet(t, r, host("b", "z", "west"), nil, Table{Replica: watch.NewReplica(), Store: table})
	require.Eventually(t, func() bool { return replica.Version().Era == 2 }, time.Second, time.Millisecond)
	page, err := relay{fleet: b, address: a.members.self.PeerAddress}.Changes(t.Context(), watch.Version{Era: 1, Number: 50}, 0)
	require.ErrorIs(t, err, watch.ErrHistoryGone)
	require.Equal(t, int64(2), page.Era)
}

func TestTheNewestVersionKnownIsOfTheLatestEra(t *testing.T) {
	f := New(Options{Self: host("w0", "west-0", "west"), Tables: make([]Table, 1)})
	now := time.Now()
	for _, c := range []struct {
		received Status
		want     watch.Version
	}{
		{Status{Changes: []int64{90}}, watch.Version{Number: 90}},
		{Status{}.WithLastChange(watch.Version{Era: 1, Number: 50}), watch.Version{Era: 1, Number: 50}},
		{Status{}.WithLastChange(watch.Version{Era: 2, Number: 7}), watch.Version{Era: 2, Number: 7}},
		{Status{}.WithLastChange(watch.Version{Era: 1, Number: 99}), watch.Version{Era: 2, Number: 7}},
		{Status{Changes: []int64{99}}, watch.Version{Era: 2, Number: 7}},
	} {
		f.recordVersions(c.received, now)
		got, _ := f.NewestKnown(0)
		require.Equal(t, c.want, got)
	}
}

func TestAnAnnouncementInALaterEraIsANewOne(t *testing.T) {
	now := time.Now()
	m := newMembers(host("w0", "west-0", "west"), []string{"west"}, now)
	listing := func(era, number int64) []Listing {
		return []Listing{{Host: host("w1", "west-0", "west"), Version: watch.Version{Era: era, Number: number}}}
	}
	m.addList("west", listing(1, 70), true, now)
	m.addList("west", listing(2, 7), true, now.Add(peerTTL-time.Minute))
	require.Empty(t, m.staleListings(now.Add(peerTTL)))
}
