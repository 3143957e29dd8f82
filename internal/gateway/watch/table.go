package watch

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// ErrHistoryGone reports that a source no longer has all changes since a version, so
// that the table must be listed.
var ErrHistoryGone = eris.New("history is gone")

// Row is a row of a table, or the tombstone of a deleted row.
type Row struct {
	Key   string `msgpack:"k"`
	Value []byte `msgpack:"v,omitempty"`
	// Version is the number of the row's last change, in the era of its page.
	Version int64 `msgpack:"r"`
	// Deleted marks a tombstone.
	Deleted bool `msgpack:"g,omitempty"`
	// Compressed reports whether Value is compressed; see Bytes.
	Compressed bool `msgpack:"p,omitempty"`
}

// Page is a source's response: all rows of a table, or those that changed.
type Page struct {
	Rows []Row `msgpack:"r,omitempty"`
	// Version is the version of the table that the page reflects. It is embedded so that
	// its fields are encoded as fields of the page.
	Version
	// Age is the time between the store's confirmation of the page and the response. It
	// is zero in a response of the store itself.
	Age time.Duration `msgpack:"a,omitempty"`
}

// Source provides a table: the store or another host's replica.
type Source interface {
	// List returns a consistent snapshot of all rows.
	List(ctx context.Context) (Page, error)
	// Changes returns the rows that changed after a version. If there are none, it waits
	// for a change up to the given time and then returns an empty page. The error is
	// ErrHistoryGone if the source no longer has the changes; the page then contains the
	// source's era, if the source has one.
	Changes(ctx context.Context, after Version, wait time.Duration) (Page, error)
}
