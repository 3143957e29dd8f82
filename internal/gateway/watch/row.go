// Package watch keeps a replica of a table that is kept elsewhere: a whole
// reading first, then its changes. A replica can be read from the table's
// store or from another host's replica, so that few hosts ask the store.
package watch

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// The errors of a source that a watcher tells apart.
var (
	// ErrGap says that the changes since a version are no longer known.
	ErrHistoryGone = eris.New("history is gone")
	// ErrThrottled says that the source refused the call for its rate.
	ErrThrottled = eris.New("throttled")
)

// Row is one row of a table, or what became of it.
type Row struct {
	Key   string `msgpack:"k"`
	Value []byte `msgpack:"v,omitempty"`
	// Version is that of the row's last change.
	Version int64 `msgpack:"r"`
	// Gone says that the row was removed.
	Deleted bool `msgpack:"g,omitempty"`
	// Packed says that Value is compressed.
	Compressed bool `msgpack:"p,omitempty"`
}

// Page is an answer of a source.
type Page struct {
	Rows []Row `msgpack:"r,omitempty"`
	// Version is the table's version that the page is as of.
	Version int64 `msgpack:"v"`
	// Age is how long ago the store itself said so.
	Age time.Duration `msgpack:"a,omitempty"`
}

// Source is where a table is read.
type Source interface {
	// List reads all rows as of one moment.
	List(ctx context.Context) (Page, error)
	// Changes waits for changes after a version, up to a time. Its error is
	// ErrGap when they are no longer known.
	Changes(ctx context.Context, after int64, wait time.Duration) (Page, error)
}
