package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/pause"
)

// Sink takes what a watcher learns, from one goroutine.
type Sink interface {
	Apply(Update)
	// Lost says that no source answers any more, and Regained that one
	// answers again after a time.
	Lost(source string, err error)
	Regained(source string, after time.Duration)
}

// Update is what a watcher learned at once.
type Update struct {
	// Rows are the rows that changed.
	Rows []Row
	// Whole says that they come of a whole reading.
	Full bool
	// Returned is when the table's store was last in reach again after
	// it had been out of reach for AwayAfter; zero is never.
	StoreReturned time.Time
}

// Named is a source with a name for the log.
type NamedSource struct {
	Name   string
	Source Source
	// Relay says that the source is another host's replica, which may be
	// old itself.
	Relay bool
	// Fallback says that the host asks the store only because its relay
	// fails. When the store itself is down, all hosts come to that, so they
	// ask less often than the ones that others rely on.
	Fallback bool
}

// Route tells a watcher which sources to ask, the best first.
type SourceOrder func() []NamedSource

// Newest tells the version of the newest change that any other host is known
// to have, and for how long that has been known.
type NewestKnown func() (version int64, since time.Duration)

// Timing sets a watcher's pace.
type Timing struct {
	// Wait is how long the store holds a question for changes, and
	// RelayWait how long another host does.
	LongPoll      time.Duration
	RelayLongPoll time.Duration
	// Slack is how much longer the store's answer may take than it holds
	// the question; it doubles up to MaxSlack while answers are late.
	// RelaySlack is that of another host.
	Slack      time.Duration
	MaxSlack   time.Duration
	RelaySlack time.Duration
	// Retry is the pause after a source's first failure; it doubles up to
	// MaxRetry, or to MaxFallbackRetry for a fallback.
	Retry            time.Duration
	MaxRetry         time.Duration
	MaxFallbackRetry time.Duration
	// Settle is the pause between news from the store and the next question
	// to it: changes come in bursts, and each answer is a call that costs.
	Settle time.Duration
	// SettleFirst is the pause after the first whole reading of the store: a
	// host that has just started learns meanwhile which host asks the store.
	SettleFirst time.Duration
	// MaxAge is the age from which on what a relay says counts as a failure.
	MaxAge time.Duration
	// Behind is how long another host may have had a change before the
	// source that did not tell it counts as failed.
	Behind time.Duration
}

// The parts of the staleness allowed that a watcher's waits may take. A relay
// answers whenever the store has confirmed what it knows, so a question to it
// waits a little longer than one to the store. One that dies in silence is
// found after the waits of one question, and one whose own way to the store
// dies in silence by its age; what is left over is for asking the store
// oneself.
const (
	waitPart       = 0.5
	maxAgePart     = 0.7
	relayWaitPart  = 0.6
	relaySlackPart = 0.1
	behindPart     = 0.2
	settlePart     = 0.06
	firstPart      = 0.2
)

// TimingFor gives the timing with which no host that reaches the store is
// staler than a bound.
func TimingFor(staleness time.Duration) Timing {
	part := func(p float64) time.Duration { return time.Duration(p * float64(staleness)) }
	return Timing{
		LongPoll: part(waitPart), MaxAge: part(maxAgePart), RelayLongPoll: part(relayWaitPart), RelaySlack: part(relaySlackPart),
		Settle: part(settlePart), SettleFirst: part(firstPart),
		Slack: 500 * time.Millisecond, MaxSlack: 2 * time.Second,
		Retry: 100 * time.Millisecond, MaxRetry: 800 * time.Millisecond, MaxFallbackRetry: 2400 * time.Millisecond, Behind: part(behindPart),
	}
}

// Watcher keeps one replica up to date.
type Watcher struct {
	replica *Replica
	order   SourceOrder
	newest  NewestKnown
	sink    Sink
	timing  Timing

	sources map[string]*sourceState
	// listedAt is when the last answer was a whole reading; zero when it
	// told of changes.
	listedAt time.Time
}

// standing is how a source did lately.
type sourceState struct {
	retry time.Duration
	slack time.Duration
	tryAt time.Time
	// lostAt is when it stopped answering; zero while it answers.
	failedSince time.Time
}

// New makes a watcher of a replica.
func New(replica *Replica, route SourceOrder, newest NewestKnown, sink Sink, timing Timing) *Watcher {
	return &Watcher{replica: replica, order: route, newest: newest, sink: sink, timing: timing, sources: map[string]*sourceState{}}
}

// Run follows the table until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		named, wait := w.next(time.Now())
		if wait > 0 {
			pause.For(ctx, wait)
			continue
		}
		news, err := w.poll(ctx, named)
		if ctx.Err() != nil {
			return
		}
		w.recordResult(named, err)
		if err == nil && !named.Relay {
			pause.For(ctx, w.pauseAfter(news))
		}
	}
}

// settle is the pause after an answer of the store.
func (w *Watcher) pauseAfter(n pollResult) time.Duration {
	switch n {
	case firstList:
		return w.timing.SettleFirst
	case changed:
		return w.timing.Settle
	default:
		return 0
	}
}

// idle is the pause when no source can be asked.
const noSourcePause = 50 * time.Millisecond

// next gives the best source that may be asked now, or how long to wait.
func (w *Watcher) next(now time.Time) (NamedSource, time.Duration) {
	for _, named := range w.order() {
		s := w.sources[named.Name]
		if s == nil || !now.Before(s.tryAt) {
			return named, 0
		}
	}
	return NamedSource{}, noSourcePause
}

// news is what an answer brought.
type pollResult uint8

const (
	noChange pollResult = iota
	changed
	// newsFirst is the first whole reading.
	firstList
)

// ask asks one source.
func (w *Watcher) poll(ctx context.Context, n NamedSource) (pollResult, error) {
	behind := w.behind()
	wait, slack := w.timeouts(n, behind)
	ctx, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	if !w.synced() {
		return firstList, w.list(ctx, n)
	}
	if !behind {
		stop := w.whenBehind(ctx, cancel)
		defer stop()
	}
	page, err := n.Source.Changes(ctx, w.replica.Version(), wait)
	if errors.Is(err, ErrHistoryGone) && time.Since(w.listedAt) >= w.timing.LongPoll {
		return noChange, w.list(ctx, n)
	}
	if err != nil {
		return noChange, err
	}
	w.listedAt = time.Time{}
	changes := w.replica.apply(page, time.Now())
	if len(changes) == 0 {
		return noChange, w.checkRelay(n, page)
	}
	w.sink.Apply(Update{Rows: changes, StoreReturned: w.replica.StoreReturned()})
	return changed, w.checkRelay(n, page)
}

// patience is how long a source may hold a question, and how much longer its
// answer may take. A host that is behind waits for nothing to happen: what it
// misses is there already. But it does give each source the time to answer.
func (w *Watcher) timeouts(n NamedSource, behind bool) (wait, slack time.Duration) {
	switch {
	case behind:
		return 0, w.state(n).slack
	case n.Relay:
		return w.timing.RelayLongPoll, w.timing.RelaySlack
	default:
		return w.timing.LongPoll, w.state(n).slack
	}
}

func (w *Watcher) synced() bool {
	w.replica.mu.Lock()
	defer w.replica.mu.Unlock()
	return w.replica.synced
}

// list reads everything. A reading that is older than what is known is not
// taken: the source may answer from a copy that lags.
func (w *Watcher) list(ctx context.Context, n NamedSource) error {
	page, err := n.Source.List(ctx)
	if err != nil {
		return err
	}
	changes, ok := w.replica.replace(page, time.Now())
	if !ok {
		return eris.Errorf("source is at version %d, %d is known", page.Version, w.replica.Version())
	}
	w.listedAt = time.Now()
	w.sink.Apply(Update{Rows: changes, Full: true, StoreReturned: w.replica.StoreReturned()})
	return w.checkRelay(n, page)
}

// judge decides whether an answer is as good as the store's own.
func (w *Watcher) checkRelay(n NamedSource, p Page) error {
	if !n.Relay {
		return nil
	}
	if p.Age > w.timing.MaxAge {
		return eris.Errorf("relay is %s old", p.Age.Round(time.Millisecond))
	}
	if known := w.replica.Version(); p.Version < known {
		return eris.Errorf("relay is at version %d, %d is known", p.Version, known)
	}
	if w.behind() {
		return errBehind
	}
	return nil
}

var errBehind = eris.New("other hosts know newer changes")

// behind reports whether another host has long known a change that this one
// does not: the source it listens to is then dead, or lags.
func (w *Watcher) behind() bool {
	version, since := w.newest()
	return version > w.replica.Version() && since > w.timing.Behind
}

// behindEvery is how often a watcher that waits looks whether it is behind.
const behindEvery = 150 * time.Millisecond

// whenBehind gives up waiting for a source as soon as others know more than it
// has told.
func (w *Watcher) whenBehind(ctx context.Context, cancel context.CancelFunc) (stop func()) {
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(behindEvery)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			if w.behind() {
				cancel()
				return
			}
		}
	}()
	return func() { close(done) }
}

func (w *Watcher) maxRetry(n NamedSource) time.Duration {
	if n.Fallback {
		return w.timing.MaxFallbackRetry
	}
	return w.timing.MaxRetry
}

func (w *Watcher) state(n NamedSource) *sourceState {
	s := w.sources[n.Name]
	if s == nil {
		s = &sourceState{retry: w.timing.Retry, slack: w.timing.Slack}
		w.sources[n.Name] = s
	}
	return s
}

// note takes down how a source did, and tells the sink when it stops
// answering and when it answers again.
func (w *Watcher) recordResult(n NamedSource, err error) {
	now := time.Now()
	s := w.state(n)
	if err == nil {
		s.retry, s.slack = w.timing.Retry, w.timing.Slack
		if !s.failedSince.IsZero() {
			w.sink.Regained(n.Name, now.Sub(s.failedSince))
			s.failedSince = time.Time{}
		}
		return
	}
	if errors.Is(err, context.DeadlineExceeded) {
		s.slack = min(2*s.slack, w.timing.MaxSlack)
	}
	s.tryAt = now.Add(s.retry/2 + rand.N(s.retry/2+1))
	s.retry = min(s.retry*2, w.maxRetry(n))
	if s.failedSince.IsZero() {
		s.failedSince = now
		w.sink.Lost(n.Name, err)
	}
}
