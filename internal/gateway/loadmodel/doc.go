// Package loadmodel simulates a load on a deployment in virtual time. It shows the
// effect that a change of a routing decision has on clients before the change is
// deployed.
//
// The simulation runs the real code of balance, outlier, retry and rollout without a
// network. A simulated host sees only the state that a real host sees. Upstreams
// have slots, a queue and a cache of objects. Clients wait, retry after the
// requested delay and time out. A Scenario (TOML) defines the deployment, the load,
// the faults and the policy variants to compare. The same scenario, variant and
// seed give the same figures.
//
// The simulation leaves out processor time and bandwidth of hosts, connections, the
// store, lost heartbeats, configuration changes, drains and evacuations. Where one
// of these matters, the figures differ from those of real hosts
// (docs/studies/decisions-under-load.md compares both for two days).
//
// A roll-out (rollout.go) runs the tables and controllers of all hosts on a store in memory,
// with fixed delays. Its hosts are never without the store, and the suspension of a bad
// version before the store has its roll-back is left out, as it goes by the real clock.
//
// Model owns the clock and all state of one run; host.go has the decisions of a
// host, client.go the clients, upstream.go the upstreams, result.go the figures.
package loadmodel
