package watch

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// ErrHistoryGone reports that a source no longer has the changes since a
// version, so that the table must be listed.
var ErrHistoryGone = eris.New("history is gone")

// Row is a row of a table, or the tombstone of one.
type Row struct {
	Key   string `msgpack:"k"`
	Value []byte `msgpack:"v,omitempty"`
	// Version is the number of the row's last change, in the era of its page.
	Version int64 `msgpack:"r"`
	// Deleted marks a tombstone.
	Deleted bool `msgpack:"g,omitempty"`
	// Compressed reports that Value is compressed; see Bytes.
	Compressed bool `msgpack:"p,omitempty"`
}

// Page is a source's response: all rows of a table, or those that changed.
type Page struct {
	Rows []Row `msgpack:"r,omitempty"`
	// Version is the table's version that the page is as of. It is embedded, as that has
	// its fields stand among the page's on the wire.
	Version
	// Age is how long before the response the store confirmed the page. It is
	// zero in a response of the store itself.
	Age time.Duration `msgpack:"a,omitempty"`
}

// Source is where a table can be read: the store or another host's replica.
type Source interface {
	// List returns all rows as of one moment.
	List(ctx context.Context) (Page, error)
	// Changes returns the rows that changed after a version. If there are
	// none it waits for one up to the given time and then returns an empty
	// page. The error is ErrHistoryGone if the changes are no longer known; the
	// page then has the source's era, if that is known.
	Changes(ctx context.Context, after Version, wait time.Duration) (Page, error)
}
