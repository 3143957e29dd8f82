package config

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"cairndock/internal/pause"
	"cairndock/internal/selector/store"
	"cairndock/internal/tomlfile"
)

const (
	// maxInline is the largest encoded change kept in a row, in bytes; a larger
	// one goes to the object store. It is half of DynamoDB's limit of 400 KB
	// for an item.
	maxInline = 200 << 10
	// maxAppendAttempts limits how often an append that found the head moved
	// starts again: changes come 0.22 times a second
	// (docs/design/configuration.md), so that two in a row are rare.
	maxAppendAttempts = 20
	// firstThrottlePause is the first pause of a call that was throttled; it
	// grows by the backoff package's defaults (1.5 times, 50% jitter).
	firstThrottlePause = 50 * time.Millisecond
	// maxThrottlePause is the longest such pause.
	maxThrottlePause = time.Second
)

// Append accepts a change: in one transaction the head moves on by one, the
// change id becomes used and the change is logged. It returns the resulting
// state and the change's revision; for a change id that was accepted before,
// that revision again and a state that may not have reached it.
//
// The error is a *Conflict if another change of an object came first, and
// joined errors of tomlfile.KeyError if references of the result would not hold; in both
// cases nothing was written. After any other error the outcome is unknown until
// the id is read; appending the same id again is safe.
func (l *Log) Append(ctx context.Context, s *State, c Change) (*State, uint64, error) {
	if rev, used, err := l.idUsed(ctx, c.ID); err != nil || used {
		return s, rev, err
	}
	object, err := retryThrottled(ctx, func() (string, error) { return l.storeLarge(ctx, c) })
	if err != nil {
		return s, 0, err
	}
	for range maxAppendAttempts {
		base := s
		s, err = retryThrottled(ctx, func() (*State, error) { return l.CatchUp(ctx, base) })
		if err != nil {
			return base, 0, err
		}
		next, err := l.commit(ctx, s, c, object)
		if err == nil {
			return next, next.Revision(), nil
		}
		if isRefusal(err) {
			return s, 0, l.nameWinner(ctx, err)
		}
		// The response to the transaction may have been lost: the id decides.
		rev, used, idErr := l.idUsed(ctx, c.ID)
		if idErr != nil {
			return s, 0, idErr
		}
		if used {
			return s, rev, nil
		}
		if !wroteNothing(err) {
			return s, 0, err
		}
	}
	return s, 0, eris.Errorf("head moved %d times while appending", maxAppendAttempts)
}

// isRefusal reports whether an append failed by the change's own content, so
// that another attempt would fail too.
func isRefusal(err error) bool {
	var conflict *Conflict
	var faulty tomlfile.KeyError
	return errors.As(err, &conflict) || errors.As(err, &faulty)
}

// wroteNothing reports whether a failed transaction certainly had no effect, so
// that the change may be appended again. Any other error is left to the
// submitter, as the transaction may still take effect after the id was read.
func wroteNothing(err error) bool {
	return errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrThrottled)
}

// retryThrottled calls f until it is not throttled or ctx ends; then it returns
// the last error. f must be safe to repeat.
func retryThrottled[T any](ctx context.Context, f func() (T, error)) (T, error) {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = firstThrottlePause
	pauses.MaxInterval = maxThrottlePause
	for {
		v, err := f()
		if !errors.Is(err, store.ErrThrottled) || !pause.For(ctx, pauses.NextBackOff()) {
			return v, err
		}
	}
}

// idUsed is ByID that waits while it is throttled.
func (l *Log) idUsed(ctx context.Context, id string) (uint64, bool, error) {
	used := false
	rev, err := retryThrottled(ctx, func() (rev uint64, err error) {
		rev, used, err = l.ByID(ctx, id)
		return rev, err
	})
	return rev, used, err
}

// nameWinner adds the winning change's id to a conflict, if the log still can
// be read: the id is only a help, the conflict stands without it.
func (l *Log) nameWinner(ctx context.Context, cause error) error {
	var conflict *Conflict
	if !errors.As(cause, &conflict) || conflict.Winner == 0 {
		return cause
	}
	rows, err := l.table.List(ctx, partitionLog, logSort(conflict.Winner-1), 1)
	if err != nil || len(rows) == 0 {
		return cause
	}
	if r, err := decode[logRow](rows[0].Body); err == nil {
		conflict.WinnerID = r.Change.ID
	}
	return cause
}

// storeLarge stores a change that is too large for its row as an object, and
// returns the object's name, or "" if the change fits.
func (l *Log) storeLarge(ctx context.Context, c Change) (string, error) {
	body, err := encode(c)
	if err != nil || len(body) <= maxInline {
		return "", err
	}
	name := "change/" + c.ID
	return name, eris.Wrap(l.objects.PutObject(ctx, name, body), "store large change")
}

// commit tries to append a change to a state that is at the head of the log.
func (l *Log) commit(ctx context.Context, s *State, c Change, object string) (*State, error) {
	if conflict := s.conflict(c); conflict != nil {
		return nil, conflict
	}
	c = c.WithRevision(s.Revision() + 1)
	next, err := s.With(c)
	if err != nil {
		return nil, err
	}
	if err := next.checkReferences(s, c.Edits); err != nil {
		return nil, err
	}
	row := logRow{Change: c}
	if object != "" {
		row = logRow{Change: Change{ID: c.ID, Revision: c.Revision}, Object: object}
	}
	logBody, err := encode(row)
	if err != nil {
		return nil, err
	}
	headBody, err := encode(head{c.Revision})
	if err != nil {
		return nil, err
	}
	return next, l.table.Transact(ctx, []store.Write{
		// The head's version is its revision: both rise by one each time.
		{Key: store.Key{Partition: partitionHead, Sort: sortHead}, IfVersion: int64(s.Revision()), Body: headBody},
		{Key: store.Key{Partition: partitionLog, Sort: logSort(c.Revision)}, Body: logBody},
		{Key: store.Key{Partition: partitionChange, Sort: c.ID}, Body: headBody},
	})
}
