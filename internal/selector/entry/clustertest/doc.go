// Package clustertest runs a small cluster of entry hosts in a bubble of fake time
// (testing/synctest), for tests of the interaction of several hosts. Tests of a
// single component are in the package of the component.
//
// Run starts five hosts in three zones of two regions, and two upstreams with two
// slots each in every zone, and waits until the hosts hold all slots. Load sends
// requests to the hosts and counts the outcomes. The methods of Cluster, of its Net
// and of its Memory kill, pause, isolate and restart hosts and upstreams.
//
// The hosts are real ones, created by entry.New. The test doubles are the network
// (memnet), the platform's table, objects and host list (store.Memory), and the
// upstreams (standin.Upstream), whose ledgers record the requests that ran. A cut
// link to the name "platform" makes the platform unreachable.
//
// The tests with clusters are split over two packages, which run as two parallel
// processes. Each process uses one processor, so that the order of events in a
// bubble is the same in every run. This package has the longest tests, which need
// only exported names of a host: slots under faults (slots_test.go), and leaving
// upstreams and hosts (leaving_test.go, with TestPlannedStopCutsNothing). Package
// entry has the tests that also inspect the internals of a host through its
// export_test.go, and the shorter ones: changes, tickets, policies, limits and
// links. Helpers that only one of the packages needs are in its test files.
package clustertest
