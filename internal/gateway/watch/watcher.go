package watch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/pause"
)

const (
	// noSourceDelay is the delay before the next attempt when no source may be polled
	// yet.
	noSourceDelay = 50 * time.Millisecond
	// startingRelayDelay is the delay before a relay that has no rows yet is polled
	// again.
	startingRelayDelay = 100 * time.Millisecond
	// behindCheckInterval is how often a watcher checks during a poll whether the host
	// has fallen behind.
	behindCheckInterval = 150 * time.Millisecond
)

// errListDeferred reports that a listing was deferred.
var errListDeferred = eris.New("listing is deferred")

// errSuperseded reports that a long poll was ended in favor of a better source, and errBehind that
// a source did not keep the host from falling behind.
var (
	errSuperseded = eris.New("a better source may be polled")
	errBehind     = eris.New("other hosts have newer changes")
)

// Sink receives a watcher's changes. Its methods are not called concurrently.
type Sink interface {
	Apply(Update)
	// Late is called after changes were applied that the host may have learned of late: the
	// replica had not been confirmed for the given time, which exceeds Timing.MaxAge.
	Late(source string, age time.Duration, changes int)
	// Lost is called when a source begins to fail, and Regained when the source works
	// again, with the duration of the failure.
	Lost(source string, err error)
	Regained(source string, after time.Duration)
	// Refused is called when a listing was not applied because it was older than the
	// known version.
	Refused(source string, listed, known Version)
	// EraBegan is called when a listing of a later era is applied.
	EraBegan(source string, listed, known Version, u Update)
}

// Update contains the changes of one response.
type Update struct {
	// Rows are the rows that changed.
	Rows []Row
	// Restored reports that the store is in a later era because it was restored from an
	// older copy. Known rows that the copy lacks may be written again.
	Restored bool
	// Reverted are the rows of a restored store that differ from the known ones and may
	// be older.
	Reverted []Reverted
	// Shared is the highest version number of a row that is the same in both eras. The
	// restored copy contains all changes up to that number.
	Shared int64
	// Full reports that the table was listed: a row that is not in Rows has not changed.
	Full bool
	// StoreReturned is when the store was last reached after an outage of at least
	// minStoreOutage; zero if there was none.
	StoreReturned time.Time
}

// Watcher keeps one replica up to date.
type Watcher struct {
	replica *Replica
	order   SourceOrder
	newest  NewestKnown
	sink    Sink
	timing  Timing

	// mu guards the fields below, and is held while a response is applied.
	mu sync.Mutex
	// sources holds the state of each source by its name.
	sources map[string]*sourceState
	// listedAt is when the table was last listed; zero once changes were read after the
	// listing.
	listedAt time.Time
	// deferredEra is the last era whose listing was deferred.
	deferredEra int64
}

// New returns a watcher that keeps a replica up to date.
func New(replica *Replica, order SourceOrder, newest NewestKnown, sink Sink, timing Timing) *Watcher {
	return &Watcher{replica: replica, order: order, newest: newest, sink: sink, timing: timing, sources: map[string]*sourceState{}}
}

// Run watches the table until the context ends. It waits after a response of the store
// to limit the calls, and polls a relay again at once, because polls of relays cost
// nothing.
func (w *Watcher) Run(ctx context.Context) {
	var backups sync.WaitGroup
	defer backups.Wait()
	backups.Go(func() { w.runBackups(ctx) })
	for ctx.Err() == nil {
		source, ok := w.takeSource(time.Now())
		if !ok {
			pause.For(ctx, noSourceDelay)
			continue
		}
		result, err := w.poll(ctx, source)
		if ctx.Err() == nil && err == nil && !source.Relay {
			pause.For(ctx, w.timing.delayAfter(result))
		}
	}
}

// takeSource returns the best source that may be polled now, if any. The caller must poll it.
func (w *Watcher) takeSource(now time.Time) (NamedSource, bool) {
	order := w.order()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range order {
		if s := w.state(n); !s.polling && !now.Before(s.retryAt) {
			s.polling = true
			return n, true
		}
	}
	return NamedSource{}, false
}

func (w *Watcher) behind() bool {
	newest, since := w.newest()
	return w.timing.behind(w.replica.Version(), newest, since)
}

// endLongPoll cancels a long poll of a source once a better source may be polled, or once the host
// has fallen behind, because the source then waits for a change that other hosts already have. It
// returns when the poll's context ends.
func (w *Watcher) endLongPoll(ctx context.Context, n NamedSource, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(behindCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.Superseded:
			cancel(errSuperseded)
			return
		case <-ticker.C:
		}
		if w.behind() {
			cancel(errBehind)
			return
		}
	}
}

// slackOf returns how much longer than its long poll a response of a source may take.
func (w *Watcher) slackOf(n NamedSource) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state(n).slack
}

// state returns the state of a source. w.mu must be held.
func (w *Watcher) state(n NamedSource) *sourceState {
	s := w.sources[n.Name]
	if s == nil {
		s = newSourceState()
		w.sources[n.Name] = s
	}
	return s
}

// relayIsStarting reports whether a relay has no rows yet because it has just started,
// like this host. This is not a failure; the relay is polled again soon.
func (w *Watcher) relayIsStarting(n NamedSource, err error) bool {
	return n.Relay && errors.Is(err, ErrHistoryGone) && !w.replica.isSynced()
}

// recordResult records a poll's result for its source, and calls the sink when the
// source begins to fail and when the source works again.
func (w *Watcher) recordResult(n NamedSource, err error) {
	if errors.Is(err, errSuperseded) {
		return
	}
	now := time.Now()
	s := w.state(n)
	if w.relayIsStarting(n, err) {
		s.retryAt = now.Add(startingRelayDelay)
		return
	}
	if errors.Is(err, errListDeferred) {
		s.deferPoll(n.ListAfter, now)
		return
	}
	if err != nil {
		if s.recordFailure(err, n.backoffLimit(), now) {
			w.sink.Lost(n.Name, err)
		}
		return
	}
	if since := s.recordSuccess(); !since.IsZero() {
		w.sink.Regained(n.Name, now.Sub(since))
	}
}
