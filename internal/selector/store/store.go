// Package store contains the clients for the platform services in which
// `cairndock serve` keeps its shared state: the table (configuration log,
// rosters) by the DynamoDB protocol, the object store (large changes, snapshots)
// by the S3 protocol, and the list of hosts as JSON.
//
// Package platform at the repository's root, which the gateway uses, has another
// task: it translates the rows, headers and paths of the users' own platform and
// opens no connections. Package store contains network clients for
// general-purpose services and does not interpret the content of rows.
//
// The packages that store data define its format. Package config uses the
// partitions config, config-log and config-change of the table, and the objects
// change/ID and snapshot/REVISION. Package rosters uses the partition roster,
// with a row for each zone.
//
// The clients keep no state except their connections and never retry, because
// only the calling code can decide how to handle a lost response. Calls are
// limited by ctx and not by a rate; package entry applies the limit
// platform.calls_per_second.
package store

import (
	"github.com/rotisserie/eris"

	"cairndock/internal/selector/servesettings"
	"cairndock/internal/settings"
)

// Errors that the clients of all services return. After any other error of a
// write it is unknown whether the write took effect.
var (
	// ErrNotFound means that the row or object does not exist.
	ErrNotFound = eris.New("not found")
	// ErrConflict means that a condition of a transaction failed and nothing was
	// written.
	ErrConflict = eris.New("condition failed")
	// ErrThrottled means that the service refused the call because of its rate
	// limit or a conflicting transaction, and nothing was written.
	ErrThrottled = eris.New("throttled")
)

// Key identifies a row.
type Key struct {
	Partition string
	// Sort orders the rows of a partition, byte by byte.
	Sort string
}

// Row is one row of the table.
type Row struct {
	Key Key
	// Version is the number of writes to the row, at least 1.
	Version int64
	Body    []byte
}

// Write creates or replaces one row within a transaction.
type Write struct {
	Key Key
	// IfVersion is the version that the row must have; 0 means that the row must
	// not exist. The write sets the row's version to IfVersion + 1.
	IfVersion int64
	Body      []byte
}

// State is the state of a host in the platform's host list.
type State string

// The states of the host list.
const (
	// Live is the state of a running host.
	Live State = "live"
	// Leaving is the state of a running host that will be stopped soon.
	Leaving State = "leaving"
	// Gone is the state of a stopped host.
	Gone State = "gone"
)

// HostState is one entry of the platform's host list: an entry host or the host
// of an upstream.
type HostState struct {
	Name  string `json:"name"`
	State State  `json:"state"`
}

// Check adds the faults of the settings section [platform] to f.
func Check(s servesettings.Platform, f *settings.Faults) {
	f.Require(s.TableEndpoint != "", "platform.table_endpoint", "must be set")
	f.Require(s.ObjectEndpoint != "", "platform.object_endpoint", "must be set")
	f.Require(s.HostsURL != "", "platform.hosts_url", "must be set")
	f.Require(s.AccessKey != "", "platform.access_key", "must be set")
	f.Require(s.SecretKey != "", "platform.secret_key", "must be set")
}
