// Package watch keeps replicas of the store's tables: it lists a table once and then
// long-polls for its changes.
//
// A Replica is this host's copy of one table, with the age of that copy. A Watcher keeps
// the replica up to date from several sources, which are the store or the replicas of
// other hosts (relays), and passes each change to a Sink. A replica is itself a source
// for other hosts, so that only few hosts poll the store.
//
// The package guarantees that a row never reverts to an older version within an era,
// that a replica's age is measured from the store's last confirmation even across a
// chain of relays, and that the replicas of a host which can reach the store are never
// older than a bound. See Timing for that bound and for the share of it that each wait
// may use.
//
// The caller provides the order of the sources and the newest version that other hosts
// report (package fleet).
package watch
