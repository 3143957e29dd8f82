package config

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"cairndock/internal/selector/store"
	"cairndock/internal/tomlfile"
)

// Where the log lives in the platform's table and object store.
const (
	partitionHead   = "config"
	partitionLog    = "config-log"
	partitionChange = "config-change"
	sortHead        = "head"
	sortSnapshot    = "snapshot"
	// maxInline is the largest change kept in a row; a larger one goes to
	// the object store and its row only names it.
	maxInline = 200 << 10
	// readPage is how many changes one read of the log asks for.
	readPage = 100
	// appendTries bounds how often an append meets a moved head.
	appendTries = 20
)

// Table is the part of the platform's table that the log uses.
type Table interface {
	Get(ctx context.Context, key store.Key) (store.Row, error)
	Transact(ctx context.Context, writes []store.Write) error
	List(ctx context.Context, partition, after string, limit int) ([]store.Row, error)
}

// Objects is the part of the platform's object store that the log uses.
type Objects interface {
	PutObject(ctx context.Context, name string, body []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// Log is the append-only log of changes in the platform's table.
type Log struct {
	table   Table
	objects Objects
}

// NewLog makes a log on a table and an object store.
func NewLog(table Table, objects Objects) *Log {
	return &Log{table: table, objects: objects}
}

type head struct {
	Revision uint64 `msgpack:"r"`
}

type logRow struct {
	Change Change `msgpack:"c"`
	// Object names the object that holds the change when it is large.
	Object string `msgpack:"o"`
}

// Head reads the newest revision; 0 when nothing was ever accepted.
func (l *Log) Head(ctx context.Context) (uint64, error) {
	row, err := l.table.Get(ctx, store.Key{Partition: partitionHead, Sort: sortHead})
	if errors.Is(err, store.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, eris.Wrap(err, "read head")
	}
	h, err := decode[head](row.Body)
	return h.Revision, err
}

func logSort(rev uint64) string { return fmt.Sprintf("%020d", rev) }

// Since reads the changes after a revision, oldest first, one page at most.
func (l *Log) Since(ctx context.Context, rev uint64) ([]Change, error) {
	rows, err := l.table.List(ctx, partitionLog, logSort(rev), readPage)
	if err != nil {
		return nil, eris.Wrap(err, "read log")
	}
	changes := make([]Change, 0, len(rows))
	for _, row := range rows {
		c, err := l.decodeRow(ctx, row)
		if err != nil {
			return nil, err
		}
		changes = append(changes, c)
	}
	return changes, nil
}

func (l *Log) decodeRow(ctx context.Context, row store.Row) (Change, error) {
	r, err := decode[logRow](row.Body)
	if err != nil || r.Object == "" {
		return r.Change, err
	}
	body, err := l.objects.GetObject(ctx, r.Object)
	if err != nil {
		return Change{}, eris.Wrap(err, "read large change")
	}
	c, err := decode[Change](body)
	return c.WithRevision(r.Change.Revision), err
}

// CatchUp gives the state moved on to the head of the log.
func (l *Log) CatchUp(ctx context.Context, s *State) (*State, error) {
	for {
		changes, err := l.Since(ctx, s.Revision())
		if err != nil {
			return nil, err
		}
		for _, c := range changes {
			if s, err = s.With(c); err != nil {
				return nil, err
			}
		}
		if len(changes) < readPage {
			return s, nil
		}
	}
}

// ByID gives the revision that a change id was accepted at.
func (l *Log) ByID(ctx context.Context, id string) (uint64, bool, error) {
	row, err := l.table.Get(ctx, store.Key{Partition: partitionChange, Sort: id})
	if errors.Is(err, store.ErrNotFound) {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, eris.Wrap(err, "read change id")
	}
	h, err := decode[head](row.Body)
	return h.Revision, true, err
}

// Append accepts a change: in one transaction the head moves on by one, the
// change id becomes used and the change is logged. It gives the state that
// results. A change id that was accepted before gives its revision again.
// The error is a *Conflict where an object moved on, and joined KeyErrors
// where the result would not hold together; both mean that nothing was
// written. Any other error leaves the outcome unknown until the id is read.
func (l *Log) Append(ctx context.Context, s *State, c Change) (*State, uint64, error) {
	if rev, used, err := l.idUsed(ctx, c.ID); err != nil || used {
		return s, rev, err
	}
	object, err := patiently(ctx, func() (string, error) { return l.storeLarge(ctx, c) })
	if err != nil {
		return s, 0, err
	}
	for range appendTries {
		base := s
		s, err = patiently(ctx, func() (*State, error) { return l.CatchUp(ctx, base) })
		if err != nil {
			return base, 0, err
		}
		next, err := l.try(ctx, s, c, object)
		if err == nil {
			return next, next.Revision(), nil
		}
		rev, used, settled := l.settle(ctx, c.ID, err)
		if settled != nil {
			return s, 0, settled
		}
		if used {
			return s, rev, nil
		}
	}
	return s, 0, eris.Errorf("head moved %d times while appending", appendTries)
}

// patiently repeats what may be repeated while the platform throttles it.
func patiently[T any](ctx context.Context, f func() (T, error)) (T, error) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = 50 * time.Millisecond
	pause.MaxInterval = time.Second
	for {
		v, err := f()
		if !errors.Is(err, store.ErrThrottled) {
			return v, err
		}
		timer := time.NewTimer(pause.NextBackOff())
		select {
		case <-ctx.Done():
			timer.Stop()
			return v, err
		case <-timer.C:
		}
	}
}

// idUsed is ByID that waits while the platform throttles.
func (l *Log) idUsed(ctx context.Context, id string) (uint64, bool, error) {
	type use struct {
		rev  uint64
		used bool
	}
	u, err := patiently(ctx, func() (use, error) {
		rev, used, err := l.ByID(ctx, id)
		return use{rev, used}, err
	})
	return u.rev, u.used, err
}

// settle decides what a failed transaction means. A nil error without use
// says to try again.
func (l *Log) settle(ctx context.Context, id string, cause error) (uint64, bool, error) {
	var conflict *Conflict
	var faulty tomlfile.KeyError
	if errors.As(cause, &conflict) || errors.As(cause, &faulty) {
		return 0, false, l.nameWinner(ctx, conflict, cause)
	}
	rev, used, err := l.idUsed(ctx, id)
	if err != nil {
		return 0, false, err
	}
	// A throttled transaction, like a failed condition, wrote nothing.
	if used || errors.Is(cause, store.ErrConflict) || errors.Is(cause, store.ErrThrottled) {
		return rev, used, nil
	}
	return 0, false, cause
}

func (l *Log) nameWinner(ctx context.Context, conflict *Conflict, cause error) error {
	if conflict == nil || conflict.Winner == 0 {
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

func (l *Log) storeLarge(ctx context.Context, c Change) (string, error) {
	body, err := encode(c)
	if err != nil || len(body) <= maxInline {
		return "", err
	}
	name := "change/" + c.ID
	return name, eris.Wrap(l.objects.PutObject(ctx, name, body), "store large change")
}

func (l *Log) try(ctx context.Context, s *State, c Change, object string) (*State, error) {
	if conflict := s.Check(c); conflict != nil {
		return nil, conflict
	}
	c = c.WithRevision(s.Revision() + 1)
	next, err := s.With(c)
	if err != nil {
		return nil, err
	}
	if err := next.CheckReferences(s, c.Edits); err != nil {
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

// SaveSnapshot stores the state as an object and points the table at it.
func (l *Log) SaveSnapshot(ctx context.Context, s *State) error {
	var body bytes.Buffer
	if err := s.WriteSnapshot(&body); err != nil {
		return err
	}
	if err := l.objects.PutObject(ctx, snapshotName(s.Revision()), body.Bytes()); err != nil {
		return eris.Wrap(err, "store snapshot")
	}
	key := store.Key{Partition: partitionHead, Sort: sortSnapshot}
	row, err := l.table.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return eris.Wrap(err, "read snapshot row")
	}
	if h, err := decode[head](row.Body); err == nil && h.Revision >= s.Revision() {
		return nil
	}
	pointer, err := encode(head{s.Revision()})
	if err != nil {
		return err
	}
	err = l.table.Transact(ctx, []store.Write{{Key: key, IfVersion: row.Version, Body: pointer}})
	return eris.Wrap(err, "point at snapshot")
}

func snapshotName(rev uint64) string { return "snapshot/" + logSort(rev) }

// Load reads the newest snapshot and the changes after it.
func (l *Log) Load(ctx context.Context) (*State, error) {
	s, err := l.loadSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	return l.CatchUp(ctx, s)
}

func (l *Log) loadSnapshot(ctx context.Context) (*State, error) {
	row, err := l.table.Get(ctx, store.Key{Partition: partitionHead, Sort: sortSnapshot})
	if errors.Is(err, store.ErrNotFound) {
		return NewState(), nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "read snapshot row")
	}
	h, err := decode[head](row.Body)
	if err != nil {
		return nil, err
	}
	body, err := l.objects.GetObject(ctx, snapshotName(h.Revision))
	if errors.Is(err, store.ErrNotFound) {
		return NewState(), nil // the log holds every change
	}
	if err != nil {
		return nil, eris.Wrap(err, "read snapshot")
	}
	return ReadSnapshot(bytes.NewReader(body))
}
