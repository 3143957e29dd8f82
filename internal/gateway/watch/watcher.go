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

// pollResult is the kind of a successful poll's response.
type pollResult uint8

const (
	// noChange is a response without changes, or a listing after the first.
	noChange pollResult = iota
	// changed is a response with changes.
	changed
	// firstList is the first listing.
	firstList
)

// poll reads a source that was taken once, applies the response and records the result. An
// error means that the source failed, even if its response was applied.
func (w *Watcher) poll(ctx context.Context, n NamedSource) (pollResult, error) {
	result, err := w.read(ctx, n)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state(n).polling = false
	if ctx.Err() == nil {
		w.recordResult(n, err)
	}
	return result, err
}

// read reads a source once and applies the response.
func (w *Watcher) read(ctx context.Context, n NamedSource) (pollResult, error) {
	urgent := w.behind() || w.overdue()
	longPoll, slack := w.timing.timeouts(n.Relay, urgent, w.slackOf(n))
	ctx, cancel := context.WithTimeout(ctx, longPoll+slack)
	defer cancel()
	if !w.replica.isSynced() {
		return firstList, w.list(ctx, n)
	}
	if !urgent {
		go w.cancelWhenBehind(ctx, cancel)
	}
	known := w.replica.Version()
	page, err := n.Source.Changes(ctx, known, longPoll)
	page.Version = page.Version.inEra(known.Era)
	if w.mustList(page, known, err) {
		if w.defersList(n, page, known) {
			return noChange, errListDeferred
		}
		return noChange, w.list(ctx, n)
	}
	if err != nil {
		return noChange, err
	}
	if page.Era < known.Era {
		return noChange, eris.Errorf("source is at version %s, older than the known version %s", page.Version, known)
	}
	return w.apply(n, page), w.checkRelay(n, page, known)
}

// defersList reports whether the listing of a later era is deferred to give other
// sources time to reach that era. Each era's listing is deferred once.
func (w *Watcher) defersList(n NamedSource, p Page, known Version) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n.ListAfter == 0 || p.Era <= known.Era || p.Era == w.deferredEra {
		return false
	}
	w.deferredEra = p.Era
	return true
}

// mustList reports whether a response requires a listing of the table, because the
// source is in a later era or no longer has the changes. A source that still lacks the
// changes right after it was listed lags, and its poll fails.
func (w *Watcher) mustList(p Page, known Version, err error) bool {
	gone := errors.Is(err, ErrHistoryGone)
	if p.Era > known.Era && (err == nil || gone) {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return gone && time.Since(w.listedAt) >= w.timing.fraction(longPollFraction)
}

// apply applies changes of a source to the replica and the sink.
func (w *Watcher) apply(n NamedSource, p Page) pollResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listedAt = time.Time{}
	age := w.replica.Age()
	changes := w.replica.apply(p, time.Now())
	if len(changes) == 0 {
		return noChange
	}
	w.sink.Apply(Update{Rows: changes, StoreReturned: w.replica.storeReturned()})
	if age > w.timing.MaxAge() {
		w.sink.Late(n.Name, age, len(changes))
	}
	return changed
}

// list lists the table and applies the listing. A listing older than the replica is an
// error, because the source may read from a lagging copy.
func (w *Watcher) list(ctx context.Context, n NamedSource) error {
	page, err := n.Source.List(ctx)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.replica.Version()
	page.Version = page.Version.inEra(known.Era)
	update, ok := w.replica.replace(page, time.Now())
	if !ok {
		w.sink.Refused(n.Name, page.Version, known)
		return eris.Errorf("source is at version %s, older than the known version %s", page.Version, known)
	}
	if update.Restored {
		w.sink.EraBegan(n.Name, page.Version, known, update)
	}
	w.listedAt = time.Now()
	w.sink.Apply(update)
	return w.checkRelay(n, page, known)
}

// checkRelay returns why a relay's response counts as a failure, or nil if it does not. known is
// the version that this host had when it polled the relay. A response of the store never counts
// as a failure.
func (w *Watcher) checkRelay(n NamedSource, p Page, known Version) error {
	if !n.Relay {
		return nil
	}
	return w.timing.relayFault(p, known, w.behind())
}

func (w *Watcher) behind() bool {
	newest, since := w.newest()
	return w.timing.behind(w.replica.Version(), newest, since)
}

// cancelWhenBehind cancels a poll once the host has fallen behind, because the source
// then waits for a change that other hosts already have. It returns when the poll's
// context ends.
func (w *Watcher) cancelWhenBehind(ctx context.Context, cancel context.CancelFunc) {
	ticker := time.NewTicker(behindCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if w.behind() {
			cancel()
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
