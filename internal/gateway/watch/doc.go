// Package watch keeps replicas of the store's tables: it lists a table once and
// then long-polls for its changes.
//
// A Replica is one table as far as this host knows it, and how old that is. A
// Watcher keeps it up to date from several sources, the store or the replicas
// of other hosts (relays), and passes each change to a Sink. A replica is
// itself a source for other hosts, so that few hosts poll the store.
//
// It guarantees that a row never goes back to an older version, that a
// replica's age counts from the store's last confirmation, also over a chain of
// relays, and that a host which can reach the store is no staler than a bound.
// staleness.go says how old a replica may get and which wait takes which part
// of the bound.
//
// It relies on its caller for the order of the sources and for the newest
// version that other hosts report (package fleet).
package watch
