// Package platform holds the words shared by all adapters to the users'
// platform: its table service, its object store and its list of hosts.
package store

import (
	"github.com/rotisserie/eris"
)

// The outcomes a caller of an adapter tells apart.
var (
	// ErrNotFound says that the row or object does not exist.
	ErrNotFound = eris.New("not found")
	// ErrConflict says that a condition of a transaction did not hold, and
	// that nothing was written.
	ErrConflict = eris.New("condition failed")
	// ErrThrottled says that the platform refused the call for its rate.
	ErrThrottled = eris.New("throttled")
)

// Key names a row.
type Key struct {
	Partition string
	Sort      string
}

// Row is one row of the table.
type Row struct {
	Key Key
	// Version counts the writes to the row, from 1.
	Version int64
	Body    []byte
}

// Write sets one row within a transaction.
type Write struct {
	Key Key
	// IfVersion is the version the row must have; 0 says that it must not
	// exist. The write sets the row's version to IfVersion + 1.
	IfVersion int64
	Body      []byte
}

// State is what the platform's host list says about a host.
type State string

// The states of the host list.
const (
	Live    State = "live"
	Leaving State = "leaving"
	Gone    State = "gone"
)

// HostState is one line of the platform's list, of an entry host or of the
// host of an upstream.
type HostState struct {
	Name  string `json:"name"`
	State State  `json:"state"`
}
