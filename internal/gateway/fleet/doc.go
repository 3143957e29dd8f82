// Package fleet is a gateway host's view of the other hosts (its peers).
//
// It owns:
//   - membership: which hosts exist, learned from the registry (registration.go,
//     lists.go), from seeds and from peers (discovery.go), and which of them are
//     alive by their heartbeats;
//   - the directory's choice of hosts for clients (directory.go);
//   - this host's share of limits that all hosts keep together (quota.go);
//   - the relay tree, by which one host of a region polls the store and the
//     others read the tables from each other (relaytree.go, relay.go).
//
// Each of these is a rule over the plain state members; Fleet adds the lock,
// the clock and the connections. Hosts agree on nothing: every rule is safe
// when two hosts hold different views of who is alive.
//
// It relies on peer for the connections between hosts and on watch for the
// replicas that are relayed. The registry is read at start and every half hour
// or so, and never waited for, so a store that is down stops no host.
package fleet
