package watch

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
)

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
	ctx, stop := context.WithTimeout(ctx, longPoll+slack)
	defer stop()
	if !w.replica.isSynced() {
		return firstList, w.list(ctx, n)
	}
	pollCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if !urgent {
		go w.endLongPoll(pollCtx, n, cancel)
	}
	known := w.replica.Version()
	page, err := n.Source.Changes(pollCtx, known, longPoll)
	if cause := context.Cause(pollCtx); err != nil && (errors.Is(cause, errSuperseded) || errors.Is(cause, errBehind)) {
		return noChange, cause
	}
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
