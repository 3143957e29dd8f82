// Package store is the client of the platform services in which `cairndock
// serve` keeps its shared state: the table (configuration log, rosters) by the
// DynamoDB protocol, the object store (large changes, snapshots) by the S3
// protocol, and the list of hosts as JSON.
//
// It differs from the package platform at the repository's root, which the
// gateway uses: that one translates the rows, headers and paths of the users'
// own platform and opens no connection; this one is the network client of
// general-purpose services and knows nothing of the rows' content.
//
// What is stored is defined by its owners. Package config keeps the partitions
// config, config-log and config-change of the table, and the objects change/ID
// and snapshot/REVISION; package rosters keeps the partition roster, with a row
// for each zone.
//
// The clients keep no state but their connections and never retry: only the
// caller knows what a lost response means to it. Calls are limited by ctx and
// not by a rate; the entry package counts them against
// platform.calls_per_second.
package store

import (
	"github.com/rotisserie/eris"

	"cairndock/internal/selector/servesettings"
	"cairndock/internal/settings"
)

// The errors that callers of every service distinguish. Any other error of a
// write leaves open whether it took effect.
var (
	// ErrNotFound means that the row or object does not exist.
	ErrNotFound = eris.New("not found")
	// ErrConflict means that a condition of a transaction did not hold, and
	// that nothing was written.
	ErrConflict = eris.New("condition failed")
	// ErrThrottled means that the service refused the call by its rate limit,
	// and that nothing was written.
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
	// Version counts the writes to the row, from 1.
	Version int64
	Body    []byte
}

// Write replaces one row within a transaction.
type Write struct {
	Key Key
	// IfVersion is the version the row must have; 0 means that it must not
	// exist. The write sets the row's version to IfVersion + 1.
	IfVersion int64
	Body      []byte
}

// State is the state of a host by the platform's host list.
type State string

// The states of the host list.
const (
	// Live hosts run.
	Live State = "live"
	// Leaving hosts run and are about to be stopped.
	Leaving State = "leaving"
	// Gone hosts have been stopped.
	Gone State = "gone"
)

// HostState is one line of the platform's host list: an entry host, or the
// host of an upstream.
type HostState struct {
	Name  string `json:"name"`
	State State  `json:"state"`
}

// Check adds the faults of the settings' section [platform] to f.
func Check(s servesettings.Platform, f *settings.Faults) {
	f.Require(s.TableEndpoint != "", "platform.table_endpoint", "must be set")
	f.Require(s.ObjectEndpoint != "", "platform.object_endpoint", "must be set")
	f.Require(s.HostsURL != "", "platform.hosts_url", "must be set")
	f.Require(s.AccessKey != "", "platform.access_key", "must be set")
	f.Require(s.SecretKey != "", "platform.secret_key", "must be set")
}
