package config

import (
	"context"
	"errors"
	"fmt"

	"github.com/rotisserie/eris"

	"cairndock/internal/selector/store"
)

// The partitions and sort keys of the log's rows. They are stored data.
const (
	// partitionHead holds the rows sortHead and sortSnapshot.
	partitionHead = "config"
	// partitionLog holds a logRow for each revision, with logSort as sort key.
	partitionLog = "config-log"
	// partitionChange holds a head for each accepted change, with the change id
	// as sort key.
	partitionChange = "config-change"
	// sortHead is the sort key of the row with the newest revision.
	sortHead = "head"
	// sortSnapshot is the sort key of the row with the newest snapshot's
	// revision.
	sortSnapshot = "snapshot"
)

// readPageSize is the number of changes that one read of the log requests. At the
// design rate of 19,000 changes per day (docs/design/configuration.md), or 0.22
// per second, one page covers a host that was offline for 7 minutes.
const readPageSize = 100

// Table is the part of the store's table that the log uses.
type Table interface {
	Get(ctx context.Context, key store.Key) (store.Row, error)
	Transact(ctx context.Context, writes []store.Write) error
	List(ctx context.Context, partition, after string, limit int) ([]store.Row, error)
}

// Objects is the part of the store's objects that the log uses.
type Objects interface {
	PutObject(ctx context.Context, name string, body []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// Log is the append-only log of accepted changes, shared by all hosts. It has
// no state of its own and is safe for concurrent use.
type Log struct {
	table   Table
	objects Objects
}

// NewLog returns a log that is stored in a table and an object store.
func NewLog(table Table, objects Objects) *Log {
	return &Log{table: table, objects: objects}
}

// head is the body of every row that contains only a revision.
type head struct {
	Revision uint64 `msgpack:"r"`
}

// logRow is the body of a row of the log.
type logRow struct {
	Change Change `msgpack:"c"`
	// Object is the name of the object that contains a large change, else
	// empty. If Object is set, Change has only the id and the revision.
	Object string `msgpack:"o"`
}

// Head reads the newest revision. It returns 0 if no change was ever accepted.
func (l *Log) Head(ctx context.Context) (uint64, error) {
	rev, _, err := l.readHead(ctx, store.Key{Partition: partitionHead, Sort: sortHead})
	return rev, err
}

// readHead returns the revision in a row, and whether the row exists.
func (l *Log) readHead(ctx context.Context, key store.Key) (uint64, bool, error) {
	row, err := l.table.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, eris.Wrapf(err, "read row %s/%s", key.Partition, key.Sort)
	}
	h, err := decode[head](row.Body)
	return h.Revision, true, err
}

// logSort returns the sort key of a revision. All keys have the same length, so
// rows sort by revision.
func logSort(rev uint64) string { return fmt.Sprintf("%020d", rev) }

// Since reads up to readPageSize changes after a revision, oldest first.
func (l *Log) Since(ctx context.Context, rev uint64) ([]Change, error) {
	rows, err := l.table.List(ctx, partitionLog, logSort(rev), readPageSize)
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

// decodeRow returns the change of a row. A large change is read from the object
// store.
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

// CatchUp applies the log's changes after s's revision, up to the head.
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
		if len(changes) < readPageSize {
			return s, nil
		}
	}
}

// ByID returns the revision at which a change id was accepted. The bool is false
// if it was not accepted.
func (l *Log) ByID(ctx context.Context, id string) (uint64, bool, error) {
	return l.readHead(ctx, store.Key{Partition: partitionChange, Sort: id})
}
