package watch

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeStore is a table with the faults of a store.
type fakeStore struct {
	mu      sync.Mutex
	replica *Replica
	// lag is how many versions behind whole readings are.
	stale  *Page
	gap    bool
	down   error
	silent bool
	// slow is how long an answer takes.
	slow    time.Duration
	calls   int
	lists   int
	version int64
}

func newFakeStore() *fakeStore {
	s := &fakeStore{replica: NewReplica()}
	s.replica.replace(Page{Version: 1}, time.Now())
	s.version = 1
	return s
}

func (s *fakeStore) put(key, value string) {
	s.mu.Lock()
	s.version++
	v := s.version
	s.mu.Unlock()
	s.replica.apply(Page{Version: v, Rows: []Row{{Key: key, Value: []byte(value), Version: v}}}, time.Now())
}

func (s *fakeStore) remove(key string) {
	s.mu.Lock()
	s.version++
	v := s.version
	s.mu.Unlock()
	s.replica.apply(Page{Version: v, Rows: []Row{{Key: key, Version: v, Deleted: true}}}, time.Now())
}

func (s *fakeStore) set(f func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *fakeStore) asked() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *fakeStore) listed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists
}

func (s *fakeStore) enter(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	down, silent, slow := s.down, s.silent, s.slow
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case <-time.After(slow):
		return down
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *fakeStore) List(ctx context.Context) (Page, error) {
	if err := s.enter(ctx); err != nil {
		return Page{}, err
	}
	s.mu.Lock()
	s.lists++
	stale := s.stale
	s.mu.Unlock()
	if stale != nil {
		return *stale, nil
	}
	p, err := s.replica.List(ctx)
	p.Age = 0
	return p, err
}

func (s *fakeStore) Changes(ctx context.Context, after int64, wait time.Duration) (Page, error) {
	if err := s.enter(ctx); err != nil {
		return Page{}, err
	}
	s.mu.Lock()
	gap := s.gap
	s.mu.Unlock()
	if gap {
		return Page{}, ErrHistoryGone
	}
	p, err := s.replica.Changes(ctx, after, wait)
	p.Age = 0
	return p, err
}

// recorder is a sink that keeps what it was told.
type recorder struct {
	mu       sync.Mutex
	rows     map[string]string
	lost     []string
	regained []string
}

func (r *recorder) Apply(u Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rows == nil {
		r.rows = map[string]string{}
	}
	for _, row := range u.Rows {
		if row.Deleted {
			delete(r.rows, row.Key)
			continue
		}
		r.rows[row.Key] = string(row.Value)
	}
}

func (r *recorder) Lost(source string, _ error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = append(r.lost, source)
}

func (r *recorder) Regained(source string, _ time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.regained = append(r.regained, source)
}

func (r *recorder) lostNames() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.lost)
}

func (r *recorder) regainedNames() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.regained)
}

func (r *recorder) value(key string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rows[key]
}

// staleness is the bound that the tests' watchers keep.
const staleness = 2 * time.Second

var timing = TimingFor(staleness)

func nobodyKnowsMore() (int64, time.Duration) { return 0, 0 }

// follow runs a watcher in a bubble of fake time.
func follow(t *testing.T, newest NewestKnown, sources ...NamedSource) (*recorder, *Replica) {
	t.Helper()
	r := &recorder{}
	replica := NewReplica()
	w := New(replica, func() []NamedSource { return sources }, newest, r, timing)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return r, replica
}

func TestAChangeIsSeenAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("a", "1")
		r, _ := follow(t, nobodyKnowsMore, NamedSource{Name: "store", Source: s})
		synctest.Wait()
		require.Equal(t, "1", r.value("a"))
		time.Sleep(timing.SettleFirst)
		s.put("a", "2")
		s.put("b", "3")
		s.remove("a")
		synctest.Wait()
		require.Equal(t, "", r.value("a"))
		require.Equal(t, "3", r.value("b"))
		time.Sleep(20 * time.Second)
		require.LessOrEqual(t, s.asked(), 24, "a calm table costs a call each wait")
	})
}

func TestAStoreThatIsDownIsAskedSparinglyAndFoundAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		r, _ := follow(t, nobodyKnowsMore, NamedSource{Name: "store", Source: s})
		synctest.Wait()
		s.set(func(s *fakeStore) { s.down, s.calls = errors.New("503"), 0 })
		time.Sleep(10 * time.Second)
		s.set(func(s *fakeStore) { s.down = nil })
		require.Less(t, s.asked(), 25)
		require.Equal(t, []string{"store"}, r.lostNames(), "told once")
		s.put("a", "1")
		time.Sleep(timing.MaxRetry)
		require.Equal(t, "1", r.value("a"))
		require.Equal(t, []string{"store"}, r.regainedNames())
	})
}

func TestADeadConnectionCostsNoMoreThanTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		r, _ := follow(t, nobodyKnowsMore, NamedSource{Name: "store", Source: s})
		synctest.Wait()
		s.set(func(s *fakeStore) { s.silent = true })
		time.Sleep(timing.LongPoll + time.Millisecond) // the next question is swallowed
		s.set(func(s *fakeStore) { s.silent = false })
		s.put("a", "1")
		time.Sleep(timing.LongPoll + timing.Slack + timing.Retry)
		require.Equal(t, "1", r.value("a"))
	})
}

func TestAGapIsFilledByAWholeReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("a", "1")
		s.put("b", "1")
		r, _ := follow(t, nobodyKnowsMore, NamedSource{Name: "store", Source: s})
		synctest.Wait()
		time.Sleep(timing.SettleFirst)
		s.set(func(s *fakeStore) { s.silent = true })
		time.Sleep(timing.LongPoll + time.Millisecond)
		s.set(func(s *fakeStore) { s.silent, s.gap = false, true })
		s.remove("a")
		s.put("b", "2")
		time.Sleep(timing.LongPoll + timing.Slack + time.Second)
		require.Equal(t, "", r.value("a"), "what a whole reading lacks is gone")
		require.Equal(t, "2", r.value("b"))
		require.Less(t, s.listed(), 10, "a store that lags is not asked again and again")
	})
}

func TestAReadingThatLagsNeverTakesKnowledgeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("a", "old")
		stale, _ := s.replica.List(t.Context())
		s.put("a", "new")
		r, _ := follow(t, nobodyKnowsMore, NamedSource{Name: "store", Source: s})
		synctest.Wait()
		s.set(func(s *fakeStore) { s.stale, s.gap = &stale, true })
		s.put("x", "wakes the watcher")
		time.Sleep(5 * time.Second)
		require.Equal(t, "new", r.value("a"))
		s.set(func(s *fakeStore) { s.stale, s.gap = nil, false })
		time.Sleep(2 * time.Second)
		require.Equal(t, "new", r.value("a"))
	})
}

func TestARelayCarriesOnWhenTheStoreIsOutOfReach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("a", "1")
		cut := &fakeStore{down: errors.New("unreachable")}
		peer, peersReplica := follow(t, nobodyKnowsMore, NamedSource{Name: "store", Source: s})
		synctest.Wait()
		require.Equal(t, "1", peer.value("a"))
		r, _ := follow(t, nobodyKnowsMore, NamedSource{Name: "store", Source: cut}, NamedSource{Name: "peer", Source: peersReplica, Relay: true})
		time.Sleep(time.Second)
		require.Equal(t, "1", r.value("a"))
		s.put("a", "2")
		synctest.Wait()
		require.Equal(t, "2", r.value("a"), "a host without the store learns by its peer at once")
	})
}

func TestAnOldRelayIsNotTrustedAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		old := NewReplica()
		old.replace(Page{Version: 1, Age: time.Minute}, time.Now())
		r, _ := follow(t, nobodyKnowsMore, NamedSource{Name: "peer", Source: old, Relay: true}, NamedSource{Name: "store", Source: s})
		s.put("a", "1")
		time.Sleep(2 * time.Second)
		require.Equal(t, "1", r.value("a"))
		require.Contains(t, r.lostNames(), "peer")
	})
}

// behindADeadRelay follows a relay that hears nothing more of its store, until
// a second has passed: from then on other hosts tell of version 2.
func behindADeadRelay(t *testing.T) (*fakeStore, *recorder) {
	t.Helper()
	s := newFakeStore()
	dead := NewReplica()
	dead.replace(Page{Version: 1}, time.Now())
	began := time.Now()
	newest := func() (int64, time.Duration) {
		if time.Since(began) < time.Second {
			return 0, 0
		}
		return 2, time.Since(began) - time.Second
	}
	r, _ := follow(t, newest, NamedSource{Name: "peer", Source: dead, Relay: true}, NamedSource{Name: "store", Source: s})
	time.Sleep(time.Second)
	return s, r
}

// A relay whose own feed is dead answers in time and says nothing new; the
// heartbeats of other hosts show that there is news.
func TestAHostThatIsBehindOthersAsksElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := behindADeadRelay(t)
		s.put("a", "1")
		time.Sleep(timing.Behind + 300*time.Millisecond)
		require.Equal(t, "1", r.value("a"))
	})
}

// Sources that take longer to answer than the host looks whether it is behind,
// such as a store that is slow or far away, are heard all the same.
func TestAHostThatIsBehindHearsAStoreThatIsSlow(t *testing.T) {
	const slow = 400 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		s, r := behindADeadRelay(t)
		s.put("a", "1")
		s.set(func(f *fakeStore) { f.slow = slow })
		time.Sleep(timing.Behind + 300*time.Millisecond + slow)
		require.Equal(t, "1", r.value("a"))
	})
}

// The relay answers in time, but its own way to the store has gone silent;
// and the relay itself goes silent. The store is in reach all along.
func TestNoHostThatReachesTheStoreIsStalerThanTheBound(t *testing.T) {
	for name, relayDies := range map[string]bool{"the relay's store": false, "the relay": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				relaysWay := &fakeStore{replica: s.replica}
				_, relaysReplica := follow(t, nobodyKnowsMore, NamedSource{Name: "store", Source: relaysWay})
				way := &fakeStore{replica: relaysReplica}
				r, _ := follow(t, nobodyKnowsMore, NamedSource{Name: "relay", Source: agedSource{way, relaysReplica}, Relay: true}, NamedSource{Name: "store", Source: s})
				time.Sleep(10 * time.Second)
				relaysWay.set(func(f *fakeStore) { f.silent = true })
				way.set(func(f *fakeStore) { f.silent = relayDies })
				time.Sleep(timing.LongPoll) // a question under way may still be answered
				s.put("a", "1")
				time.Sleep(staleness - 100*time.Millisecond)
				require.Equal(t, "1", r.value("a"))
			})
		})
	}
}

// agedSource is another host's replica behind a way that can fail.
type agedSource struct {
	way     *fakeStore
	replica *Replica
}

func (a agedSource) List(ctx context.Context) (Page, error) {
	if err := a.way.enter(ctx); err != nil {
		return Page{}, err
	}
	return a.replica.List(ctx)
}

func (a agedSource) Changes(ctx context.Context, after int64, wait time.Duration) (Page, error) {
	if err := a.way.enter(ctx); err != nil {
		return Page{}, err
	}
	return a.replica.ChangesWithin(ctx, after, wait, timing.MaxAge)
}

func TestReplicaServesChangesSinceAnyVersionItKnows(t *testing.T) {
	now := time.Now()
	r := NewReplica()
	_, err := r.List(t.Context())
	require.ErrorIs(t, err, ErrHistoryGone, "an empty replica says nothing rather than that nothing is there")
	r.replace(Page{Version: 5, Rows: []Row{{Key: "a", Version: 3}, {Key: "b", Version: 4}}}, now)
	_, err = r.Changes(t.Context(), 4, 0)
	require.ErrorIs(t, err, ErrHistoryGone)
	changes, ok := r.replace(Page{Version: 9, Rows: []Row{{Key: "b", Version: 8}}}, now)
	require.True(t, ok)
	require.Len(t, changes, 2)
	p, err := r.Changes(t.Context(), 5, 0)
	require.NoError(t, err)
	require.ElementsMatch(t, []Row{{Key: "a", Version: 9, Deleted: true}, {Key: "b", Version: 8}}, p.Rows)
	// A row that was removed does not come back by an older word.
	require.Empty(t, r.apply(Page{Version: 9, Rows: []Row{{Key: "a", Version: 7}}}, now))
	// Once the tombstone is forgotten, older versions are a gap.
	r.apply(Page{Version: 10, Rows: []Row{{Key: "c", Version: 10}}}, now.Add(2*tombstoneFor))
	_, err = r.Changes(t.Context(), 5, 0)
	require.ErrorIs(t, err, ErrHistoryGone)
}

func TestRelaysOfRelaysOnlyGrowOlder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := NewReplica(), NewReplica()
		a.replace(Page{Version: 1}, time.Now())
		b.replace(Page{Version: 1}, time.Now())
		for range 20 {
			time.Sleep(time.Second)
			pa, _ := a.Changes(t.Context(), 1, 0)
			b.apply(pa, time.Now())
			pb, _ := b.Changes(t.Context(), 1, 0)
			a.apply(pb, time.Now())
		}
		require.Equal(t, 20*time.Second, a.Age())
	})
}

func TestALargeValueIsRelayedSmallAndReadWhole(t *testing.T) {
	large := bytes.Repeat([]byte(`{"path_prefix":"/bookings/"},`), 20_000)
	r := NewReplica()
	r.replace(Page{Version: 1, Rows: []Row{{Key: "a", Value: large, Version: 1}, {Key: "b", Value: []byte("small"), Version: 1}}}, time.Now())
	page, err := r.List(t.Context())
	require.NoError(t, err)
	for _, row := range page.Rows {
		value, err := row.Bytes()
		require.NoError(t, err)
		if row.Key == "b" {
			require.Equal(t, "small", string(value))
			continue
		}
		require.Equal(t, large, value)
		require.Less(t, len(row.Value), len(large)/10)
	}
	_, err = Row{Value: []byte("rubbish"), Compressed: true}.Bytes()
	require.Error(t, err)
}

func TestAStoreThatWasAwayIsToldApartFromOneThatHesitates(t *testing.T) {
	start := time.Now()
	r := NewReplica()
	r.replace(Page{Version: 1}, start)
	require.Zero(t, r.StoreReturned(), "the first reading is no return")
	soon := start.Add(StoreAwayAfter - time.Millisecond)
	r.apply(Page{Version: 1}, soon)
	require.Zero(t, r.StoreReturned())
	late := soon.Add(StoreAwayAfter + time.Second)
	r.apply(Page{Version: 1, Age: 100 * time.Millisecond}, late)
	require.Equal(t, late, r.StoreReturned())
}

func TestABurstOfChangesCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		r, _ := follow(t, nobodyKnowsMore, NamedSource{Name: "store", Source: s})
		synctest.Wait()
		s.set(func(s *fakeStore) { s.calls = 0 })
		for i := range 50 {
			s.put("a", strconv.Itoa(i))
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(timing.Settle)
		require.Equal(t, "49", r.value("a"))
		require.LessOrEqual(t, s.asked(), 6)
	})
}

// When the store is down every host finds its relay old. Those that only fall
// back to the store must not make its calls grow with hosts, and still find
// it soon after its return.
func TestAFallbackAsksTheStoreLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, old := newFakeStore(), newFakeStore()
		r, _ := follow(t, nobodyKnowsMore, NamedSource{Name: "relay", Source: old, Relay: true}, NamedSource{Name: "store", Source: s, Fallback: true})
		time.Sleep(timing.SettleFirst)
		old.set(func(s *fakeStore) { s.down = errors.New("old") })
		s.set(func(s *fakeStore) { s.down, s.calls = errors.New("503"), 0 })
		time.Sleep(20 * time.Second)
		require.LessOrEqual(t, s.asked(), 16)
		s.set(func(s *fakeStore) { s.down = nil })
		s.put("a", "1")
		time.Sleep(timing.MaxFallbackRetry)
		require.Equal(t, "1", r.value("a"))
	})
}

// The history may be forgotten between the first reading and the first
// question for changes.
func TestAGapRightAfterTheFirstReadingIsFilledToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("a", "1")
		r, _ := follow(t, nobodyKnowsMore, NamedSource{Name: "store", Source: s})
		synctest.Wait()
		s.set(func(s *fakeStore) { s.gap = true })
		s.remove("a")
		s.put("b", "2")
		time.Sleep(2 * time.Second)
		s.set(func(s *fakeStore) { s.gap = false })
		require.Equal(t, "", r.value("a"))
		require.Equal(t, "2", r.value("b"))
		require.Less(t, s.listed(), 5)
	})
}

// A host that asks by way of others learns of the store's word when they do.
func TestARelayAnswersWhenTheStoreConfirmsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := NewReplica()
		r.replace(Page{Version: 1}, time.Now())
		time.Sleep(500 * time.Millisecond)
		answered := make(chan Page)
		go func() {
			p, err := r.ChangesWithin(t.Context(), 1, timing.RelayLongPoll, timing.MaxAge)
			require.NoError(t, err)
			answered <- p
		}()
		time.Sleep(100 * time.Millisecond)
		r.apply(Page{Version: 1}, time.Now())
		began := time.Now()
		p := <-answered
		require.Zero(t, time.Since(began))
		require.Zero(t, p.Age)
		require.Empty(t, p.Rows)
	})
}
