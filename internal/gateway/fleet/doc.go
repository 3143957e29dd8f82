// Package fleet is the view that a gateway host has of the other hosts (its peers).
//
// It owns:
//   - membership: which hosts exist, learned from the registry (registration.go,
//     lists.go), from seeds and from peers (discovery.go), and which of them are
//     alive, as their heartbeats show;
//   - the directory's choice of hosts for clients (directory.go);
//   - this host's share of limits that all hosts enforce together (quota.go,
//     limitshare.go, place.go);
//   - the relay tree, in which one host of a region polls the store and the
//     others read the tables from each other (relaytree.go, relay.go).
//
// Each of these is a rule over the plain state in members. Fleet adds the lock, the
// clock and the connections. There is no consensus between hosts: every rule is safe
// when two hosts have different views of which hosts are alive.
//
// The package uses peer for the connections between hosts and watch for the replicas
// that are relayed. The registry is read at start and about every half hour, and no
// request waits for a read, so a store that is down stops no host.
package fleet
