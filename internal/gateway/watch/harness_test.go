package watch

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"
)

// fakeStore is a table of a store in which failures can be injected.
type fakeStore struct {
	mu      sync.Mutex
	replica *Replica
	// stale is returned by List in place of the table, if set.
	stale       *Page
	historyGone bool
	down        error
	silent      bool
	// slow is the delay before each response.
	slow    time.Duration
	calls   int
	lists   int
	version int64
}

func newFakeStore() *fakeStore {
	s := &fakeStore{replica: NewReplica()}
	s.replica.replace(Page{Version: at(1)}, time.Now())
	s.version = 1
	return s
}

func (s *fakeStore) put(key, value string) { s.change(Row{Key: key, Value: []byte(value)}) }

func (s *fakeStore) remove(key string) { s.change(Row{Key: key, Deleted: true}) }

func (s *fakeStore) change(row Row) {
	s.mu.Lock()
	s.version++
	row.Version = s.version
	s.mu.Unlock()
	s.replica.apply(Page{Version: at(row.Version), Rows: []Row{row}}, time.Now())
}

func (s *fakeStore) set(f func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *fakeStore) requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *fakeStore) listings() int {
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
	stale, replica := s.stale, s.replica
	s.mu.Unlock()
	if stale != nil {
		return *stale, nil
	}
	p, err := replica.List(ctx)
	p.Age = 0
	return p, err
}

func (s *fakeStore) Changes(ctx context.Context, after Version, wait time.Duration) (Page, error) {
	if err := s.enter(ctx); err != nil {
		return Page{}, err
	}
	s.mu.Lock()
	historyGone, replica := s.historyGone, s.replica
	s.mu.Unlock()
	if historyGone {
		return Page{}, ErrHistoryGone
	}
	p, err := replica.Changes(ctx, after, wait)
	p.Age = 0
	return p, err
}

// at returns a version whose era is unknown.
func at(number int64) Version { return Version{Number: number} }

// recordingSink is a sink that records its calls.
type recordingSink struct {
	mu       sync.Mutex
	rows     map[string]string
	lost     []string
	regained []string
	// late, refused and eras count the calls of Late, Refused and EraBegan.
	late, refused, eras int
}

func (r *recordingSink) Apply(u Update) {
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

func (r *recordingSink) Late(string, time.Duration, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.late++
}

func (r *recordingSink) Lost(source string, _ error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = append(r.lost, source)
}

func (r *recordingSink) Regained(source string, _ time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.regained = append(r.regained, source)
}

func (r *recordingSink) Refused(string, Version, Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused++
}

func (r *recordingSink) EraBegan(string, Version, Version, Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.eras++
}

func (r *recordingSink) lostNames() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.lost)
}

func (r *recordingSink) regainedNames() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.regained)
}

func (r *recordingSink) value(key string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rows[key]
}

// staleness is the staleness bound of the watchers in these tests.
const staleness = 2 * time.Second

var timing = Timing(staleness)

func noneNewer() (Version, time.Duration) { return Version{}, 0 }

// startWatcher runs a watcher until the test ends. It must be called in a
// testing/synctest bubble.
func startWatcher(t *testing.T, newest NewestKnown, sources ...NamedSource) (*recordingSink, *Replica) {
	t.Helper()
	return startWatcherInOrder(t, newest, func() []NamedSource { return sources })
}

// startWatcherInOrder is startWatcher with sources whose order may change.
func startWatcherInOrder(t *testing.T, newest NewestKnown, order SourceOrder) (*recordingSink, *Replica) {
	t.Helper()
	r := &recordingSink{}
	replica := NewReplica()
	w := New(replica, order, newest, r, timing)
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
