// Package watch follows a source of records: a whole reading first, then its
// changes, for as long as the source can tell them without a gap.
package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// The errors of a source that a watcher tells apart.
var (
	// ErrGap says that the changes since a version are no longer known.
	ErrGap = eris.New("history is gone")
	// ErrThrottled says that the source refused the call for its rate.
	ErrThrottled = eris.New("throttled")
)

// Record is one record of a source, or what changed about it.
type Record[T any] struct {
	Key     string
	Value   T
	Version int64
	// Gone says that the record was removed; it has no value then.
	Gone bool
	// Fault says that the value can't be read. The record stays as it was.
	Fault error
}

// Page is an answer of a source: records as of a version.
type Page[T any] struct {
	Records []Record[T]
	Version int64
}

// Source is where records come from.
type Source[T any] interface {
	// List reads all records as of one moment.
	List(ctx context.Context) (Page[T], error)
	// Changes waits for changes after a version, up to a time. Its error is
	// ErrGap when they are no longer known.
	Changes(ctx context.Context, after int64, wait time.Duration) (Page[T], error)
}

// Sink takes what a watcher learns, from one goroutine.
type Sink[T any] interface {
	// Replace brings all records: what is missing is gone.
	Replace(records []Record[T], version int64)
	// Apply brings changes in their order.
	Apply(records []Record[T], version int64)
	// Lost says that the source stopped answering, and Regained that it
	// answers again after a time.
	Lost(err error)
	Regained(after time.Duration)
}

// Timing sets a watcher's pace.
type Timing struct {
	// Wait is how long the source holds a question for changes. A change
	// that the source makes while a connection is dead is seen at most
	// Wait and Slack later.
	Wait time.Duration
	// Slack is how much longer an answer may take than the source holds it.
	Slack time.Duration
	// Retry is the first pause after an error; it doubles up to MaxRetry.
	Retry    time.Duration
	MaxRetry time.Duration
}

// DefaultTiming suits bounds of two seconds and more after the source is
// back in reach.
var DefaultTiming = Timing{
	Wait: 2500 * time.Millisecond, Slack: 700 * time.Millisecond,
	Retry: 100 * time.Millisecond, MaxRetry: 800 * time.Millisecond,
}

// Watcher follows one source.
type Watcher[T any] struct {
	source Source[T]
	sink   Sink[T]
	timing Timing

	version int64
	synced  bool
	retry   time.Duration
	lostAt  time.Time
	// listed says that the last step read everything.
	listed bool
	made   time.Time
	// freshAt is when the source last answered, as time since made; 0 is
	// never.
	freshAt atomic.Int64
}

// New makes a watcher.
func New[T any](source Source[T], sink Sink[T], timing Timing) *Watcher[T] {
	return &Watcher[T]{source: source, sink: sink, timing: timing, retry: timing.Retry, made: time.Now()}
}

// Run follows the source until the context ends.
func (w *Watcher[T]) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := w.step(ctx); err != nil {
			w.failed(ctx, err)
			continue
		}
		w.answered()
	}
}

// Age is how long ago the source last answered.
func (w *Watcher[T]) Age() time.Duration {
	at := w.freshAt.Load()
	if at == 0 {
		return time.Duration(1<<63 - 1)
	}
	return time.Since(w.made) - time.Duration(at)
}

func (w *Watcher[T]) step(ctx context.Context) error {
	if !w.synced {
		return w.list(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, w.timing.Wait+w.timing.Slack)
	defer cancel()
	page, err := w.source.Changes(ctx, w.version, w.timing.Wait)
	if errors.Is(err, ErrGap) {
		w.synced = false
		if w.listed {
			// Even the newest reading is older than the history: the
			// source lags, and asking at once again would not help.
			return err
		}
		return nil
	}
	w.listed = false
	if err != nil {
		return err
	}
	if len(page.Records) > 0 {
		w.sink.Apply(page.Records, page.Version)
	}
	w.version = max(w.version, page.Version)
	return nil
}

// list reads everything. A reading that is older than what is known is not
// taken: the source may answer from a copy that lags.
func (w *Watcher[T]) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, w.timing.Slack+w.timing.Wait)
	defer cancel()
	page, err := w.source.List(ctx)
	if err != nil {
		return err
	}
	if page.Version < w.version {
		return eris.Errorf("source answered as of version %d, %d is known", page.Version, w.version)
	}
	w.sink.Replace(page.Records, page.Version)
	w.version, w.synced, w.listed = page.Version, true, true
	return nil
}

func (w *Watcher[T]) answered() {
	w.retry = w.timing.Retry
	w.freshAt.Store(max(1, int64(time.Since(w.made))))
	if w.lostAt.IsZero() {
		return
	}
	w.sink.Regained(time.Since(w.lostAt))
	w.lostAt = time.Time{}
}

func (w *Watcher[T]) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if w.lostAt.IsZero() {
		w.lostAt = time.Now()
		w.sink.Lost(err)
	}
	pause := w.retry/2 + rand.N(w.retry/2+1)
	w.retry = min(w.retry*2, w.timing.MaxRetry)
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}
