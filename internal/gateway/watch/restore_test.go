package watch

import (
	"errors"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// in returns a version of an era.
func in(era, number int64) Version { return Version{Era: era, Number: number} }

// row returns a row that was last changed at a version.
func row(key, value string, version int64) Row {
	return Row{Key: key, Value: []byte(value), Version: version}
}

// restoredStore is a store that can be restored from copies.
type restoredStore struct {
	*fakeStore
	era int64
}

func newRestoredStore() *restoredStore {
	s := &restoredStore{newFakeStore(), 1}
	s.restore(nil, 1)
	s.era = 1
	s.replica.version.Era = 1
	return s
}

// restore replaces the store's rows with those of a copy, at a version of the store's
// next era.
func (s *restoredStore) restore(rows []Row, version int64) {
	s.set(func(f *fakeStore) {
		s.era++
		f.version = version
		f.replica = NewReplica()
		f.replica.replace(Page{Version: in(s.era, version), Rows: rows}, time.Now())
	})
}

func (s *restoredStore) write(key, value string) {
	s.mu.Lock()
	s.version++
	r, page := s.replica, Page{Version: in(s.era, s.version), Rows: []Row{row(key, value, s.version)}}
	s.mu.Unlock()
	r.apply(page, time.Now())
}

func TestAVersionIsNewerByItsEraFirst(t *testing.T) {
	require.True(t, in(2, 5).Newer(in(1, 90)))
	require.False(t, in(1, 90).Newer(in(2, 5)))
	require.True(t, in(2, 6).Newer(in(2, 5)))
	require.False(t, in(2, 5).Newer(in(2, 5)))
	require.Equal(t, in(3, 5), Version{Era: UnknownEra, Number: 5}.inEra(3))
}

func TestChangesAreAppliedAfterTheStoreWasRestored(t *testing.T) {
	for name, after := range map[string]int{"below the known version": 0, "soon above the known version": 60} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newRestoredStore()
				s.write("a", "old")
				copied := []Row{row("a", "old", 2)}
				r, replica := startWatcher(t, noneNewer, NamedSource{Name: "store", Source: s})
				synctest.Wait()
				for i := range 30 {
					s.write("a", strconv.Itoa(i))
				}
				time.Sleep(time.Second)
				require.Equal(t, "29", r.value("a"))
				s.restore(copied, 2)
				for range after {
					s.write("other", "x")
				}
				s.write("b", "new")
				time.Sleep(staleness)
				require.Equal(t, "new", r.value("b"))
				require.Equal(t, int64(2), replica.Version().Era)
				require.Equal(t, 1, r.eras)
				s.write("a", "again")
				time.Sleep(staleness)
				require.Equal(t, "again", r.value("a"))
			})
		})
	}
}

func TestRowsOfARestoredStoreAreNewOrReverted(t *testing.T) {
	now := time.Now()
	r := NewReplica()
	r.replace(Page{Version: in(1, 20), Rows: []Row{
		row("same", "s", 3), row("stale", "new", 15), row("reassigned", "x", 12), row("missing", "m", 14), row("newer", "n", 4),
		row("gone", "g", 5), row("back", "b", 6),
	}}, now)
	r.apply(Page{Version: in(1, 22), Rows: []Row{{Key: "gone", Version: 21, Deleted: true}, {Key: "back", Version: 22, Deleted: true}}}, now)

	u, ok := r.replace(Page{Version: in(2, 24), Rows: []Row{
		row("same", "s", 3), row("stale", "old", 9), row("reassigned", "y", 12), row("newer", "n2", 16),
		row("gone", "g", 5), row("back", "b2", 24), row("unknown", "u", 13),
	}}, now)

	require.True(t, ok)
	require.True(t, u.Restored)
	require.Equal(t, now, u.StoreReturned)
	require.Equal(t, []Row{row("reassigned", "y", 12), row("newer", "n2", 16), row("back", "b2", 24), row("unknown", "u", 13)}, u.Rows)
	require.Equal(t, []Reverted{
		{row("stale", "old", 9), 15}, {row("gone", "g", 5), 21}, {Row{Key: "missing", Version: 24, Deleted: true}, 14},
	}, u.Reverted)
	require.Equal(t, int64(3), u.Shared)
	require.Equal(t, in(2, 24), r.Version())
	require.Equal(t, in(2, 24), r.LastChange())
}

func TestPagesOfAnEarlierEraAreNotApplied(t *testing.T) {
	now := time.Now()
	r := NewReplica()
	r.replace(Page{Version: in(2, 5), Rows: []Row{row("a", "2", 5)}}, now)
	age := r.Age()
	require.Empty(t, r.apply(Page{Version: in(1, 90), Rows: []Row{row("a", "1", 80), row("b", "1", 90)}}, now.Add(time.Second)))
	_, ok := r.replace(Page{Version: in(1, 90), Rows: []Row{row("a", "1", 80)}}, now.Add(time.Second))
	require.False(t, ok)
	require.Equal(t, in(2, 5), r.Version())
	require.GreaterOrEqual(t, r.Age(), age, "a page of an earlier era does not confirm the replica")
}

func TestAReplicaServesNoChangesAcrossEras(t *testing.T) {
	r := NewReplica()
	r.replace(Page{Version: in(2, 5), Rows: []Row{row("a", "2", 5)}}, time.Now())
	for _, c := range []struct {
		name  string
		after Version
		err   error
	}{
		{"a host of an earlier era lists", in(1, 90), ErrHistoryGone},
		{"a host of a later era gets an empty page at once", in(3, 1), nil},
		{"a version without an era is compared by its number", at(4), ErrHistoryGone},
		{"its own era", in(2, 5), nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				page, err := r.Changes(t.Context(), c.after, 0)
				require.ErrorIs(t, err, c.err)
				require.Empty(t, page.Rows)
				require.Equal(t, int64(2), page.Era)
				require.Zero(t, time.Since(began))
			})
		})
	}
	r.apply(Page{Version: in(2, 6), Rows: []Row{row("b", "2", 6)}}, time.Now())
	page, err := r.Changes(t.Context(), at(5), 0)
	require.NoError(t, err)
	require.Len(t, page.Rows, 1, "a version without an era is compared by its number")
}

// A restored store is in a later era than a relay which has not polled it yet. A host
// that polls such a relay must still reach the new era within the staleness bound,
// whichever of the two polls the store first.
func TestARelayOfAnEarlierEraDoesNotDelayTheNextEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestoredStore()
		s.write("a", "1")
		_, relay := startWatcher(t, noneNewer, NamedSource{Name: "store", Source: s})
		synctest.Wait()
		relayLink := &fakeStore{replica: relay}
		r, replica := startWatcher(t, noneNewer, NamedSource{Name: "relay", Source: relaySource{relayLink, relay}, Relay: true}, NamedSource{Name: "store", Source: s})
		time.Sleep(time.Second)
		require.Equal(t, "1", r.value("a"))
		s.restore(nil, 1)
		s.write("b", "2")
		time.Sleep(staleness)
		require.Equal(t, "2", r.value("b"))
		require.Equal(t, in(2, 2), replica.Version())
		require.Equal(t, in(2, 2), relay.Version())
	})
}

func TestAHostThatMissedARestoreAppliesTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestoredStore()
		s.write("a", "1")
		r, replica := startWatcher(t, noneNewer, NamedSource{Name: "store", Source: s})
		synctest.Wait()
		s.set(func(f *fakeStore) { f.silent = true })
		time.Sleep(3 * staleness)
		s.restore([]Row{row("a", "2", 2)}, 2)
		s.restore([]Row{row("a", "3", 2)}, 2)
		s.set(func(f *fakeStore) { f.silent = false })
		time.Sleep(2 * staleness)
		require.Equal(t, "3", r.value("a"))
		require.Equal(t, in(3, 2), replica.Version())
	})
}

func TestAStoreWithoutErasIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		r, replica := startWatcher(t, noneNewer, NamedSource{Name: "store", Source: s})
		synctest.Wait()
		s.put("a", "1")
		time.Sleep(staleness)
		require.Equal(t, "1", r.value("a"))
		require.Zero(t, replica.Version().Era)
		require.Zero(t, r.eras)
	})
}

// If all hosts list a restored store at once, 5,900 hosts and 43,200 upstreams cause
// 500,000 calls to the store. So a host behind a relay lists the store only if the relay
// does not reach the new era in time.
func TestAHostBehindARelayDefersTheListingOfARestoredStore(t *testing.T) {
	for name, relayIsCut := range map[string]bool{"the relay reaches the new era": false, "the relay is cut off": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newRestoredStore()
				s.write("a", "1")
				relayStore := &fakeStore{replica: s.replica}
				_, relay := startWatcher(t, noneNewer, NamedSource{Name: "store", Source: relayStore})
				synctest.Wait()
				ownStore := &fakeStore{replica: s.replica}
				r, replica := startWatcher(t, noneNewer, NamedSource{Name: "relay", Source: relay, Relay: true},
					NamedSource{Name: "store", Source: ownStore, Fallback: true, ListAfter: time.Second})
				time.Sleep(time.Second)
				require.Equal(t, "1", r.value("a"))
				for _, f := range []*fakeStore{relayStore, ownStore} {
					f.set(func(f *fakeStore) { f.down = errors.New("unavailable") })
				}
				time.Sleep(staleness)
				s.restore([]Row{row("a", "2", 2)}, 2)
				relayStore.set(func(f *fakeStore) { f.replica = s.replica; f.silent = relayIsCut; f.down = nil })
				ownStore.set(func(f *fakeStore) { f.replica = s.replica; f.down = nil })
				time.Sleep(maxFallbackBackoff + time.Second + 100*time.Millisecond)
				require.Equal(t, "2", r.value("a"))
				require.Equal(t, in(2, 2), replica.Version())
				require.Equal(t, relayIsCut, ownStore.listings() == 1)
			})
		})
	}
}
