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
	// maxInline is the maximum size of an encoded change that is stored in a
	// row, in bytes. Larger changes are written to the object store. The value
	// is half of DynamoDB's item size limit of 400 KB.
	maxInline = 200 << 10
	// maxAppendAttempts limits the attempts of an append that keeps finding the
	// head moved by another change. The design rate is 0.22 changes per second
	// (docs/design/configuration.md), so two lost races in a row are rare.
	maxAppendAttempts = 20
	// initialThrottleDelay is the initial delay before a throttled call is
	// retried. The delay grows by the backoff package's defaults (factor 1.5,
	// 50% jitter).
	initialThrottleDelay = 50 * time.Millisecond
	// maxThrottleDelay is the maximum delay before a throttled call is retried.
	maxThrottleDelay = time.Second
)

// Append accepts a change. One transaction increments the head revision, marks
// the change id as used and writes the change to the log. Append returns the
// resulting state and the change's revision. If the change id was accepted
// before, Append returns the original revision and a state that may be older.
//
// The error is a *Conflict if another change to one of the objects was accepted
// first, and joined errors of type tomlfile.KeyError if the change would leave
// invalid references. In both cases nothing was written. After any other error
// the outcome is unknown until the id is read; appending the same id again is
// safe.
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
		// The response to the transaction may have been lost. The row of the
		// change id shows whether the change was accepted.
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

// isRefusal reports whether an append failed because of the change's own
// content, in which case a retry would fail too.
func isRefusal(err error) bool {
	var conflict *Conflict
	var keyErr tomlfile.KeyError
	return errors.As(err, &conflict) || errors.As(err, &keyErr)
}

// wroteNothing reports whether a failed transaction certainly had no effect and
// the change may be appended again. Any other error is returned to the
// submitter, because the transaction may still take effect after the id was
// read.
func wroteNothing(err error) bool {
	return errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrThrottled)
}

// retryThrottled calls f until it is not throttled or ctx is done, and returns
// the result of the last call. f must be safe to repeat.
func retryThrottled[T any](ctx context.Context, f func() (T, error)) (T, error) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = initialThrottleDelay
	delays.MaxInterval = maxThrottleDelay
	for {
		v, err := f()
		if !errors.Is(err, store.ErrThrottled) || !pause.For(ctx, delays.NextBackOff()) {
			return v, err
		}
	}
}

// idUsed calls ByID and retries while the call is throttled.
func (l *Log) idUsed(ctx context.Context, id string) (uint64, bool, error) {
	used := false
	rev, err := retryThrottled(ctx, func() (rev uint64, err error) {
		rev, used, err = l.ByID(ctx, id)
		return rev, err
	})
	return rev, used, err
}

// nameWinner adds the id of the winning change to a conflict if the log can be
// read. The id is optional: without it the conflict is returned as it is.
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

// storeLarge writes a change that is too large for a row to the object store.
// It returns the object's name, or "" if the change fits in a row.
func (l *Log) storeLarge(ctx context.Context, c Change) (string, error) {
	body, err := encode(c)
	if err != nil || len(body) <= maxInline {
		return "", err
	}
	name := "change/" + c.ID
	return name, eris.Wrap(l.objects.PutObject(ctx, name, body), "store large change")
}

// commit tries once to append a change to s, which must be at the head of the
// log.
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
		// The version of the head row equals its revision: both increase by one
		// with each change.
		{Key: store.Key{Partition: partitionHead, Sort: sortHead}, IfVersion: int64(s.Revision()), Body: headBody},
		{Key: store.Key{Partition: partitionLog, Sort: logSort(c.Revision)}, Body: logBody},
		{Key: store.Key{Partition: partitionChange, Sort: c.ID}, Body: headBody},
	})
}
