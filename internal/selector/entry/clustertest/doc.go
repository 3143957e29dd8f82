// Package clustertest runs a small cluster of entry hosts in a bubble of fake
// time (testing/synctest), for the tests of what only several hosts together
// do. What one duty does alone is tested beside it.
//
// Run starts five hosts in three zones of two regions, and two upstreams of two
// slots in each zone, and waits until the hosts hold all slots. Load sends them
// requests and counts what became of each; the methods of Cluster, of its Net and
// of its Memory kill, pause, cut off and restart what runs.
//
// The hosts are real ones, made by entry.New. Faked are the network
// (memnet), the platform's table, objects and host list (store.Memory), which a
// cut link to the name "platform" makes unreachable, and the upstreams
// (standin.Upstream), whose ledgers show what really ran there.
//
// The tests of clusters are in two packages, which run as two processes side by
// side, since each keeps to one processor: time in a bubble is then the same in
// every run. Here are the longest ones, which need only what a host exports:
// slots under faults (slots_test.go) and what leaves (leaving_test.go, with
// TestPlannedStopCutsNothing). In package entry are those that also look inside
// a host, by its export_test.go, and the shorter ones: changes, tickets,
// policies, limits and links. What the tests of one of them alone need is in
// its test files.
package clustertest
