// Package loadmodel plays a load on a deployment in virtual time, to see what a
// change of a decision does to clients before it runs anywhere.
//
// It drives the real code of balance, outlier and retry, without a network: hosts
// that know only what a host knows, upstreams with slots, a queue and objects that
// they keep, and clients that wait, return as they are told and give up. A
// Scenario (TOML) says the deployment, the load and the faults, and which variants
// of the policy are played side by side. The same scenario, variant and seed give
// the same figures.
//
// What it leaves out: processor time and bandwidth of hosts, connections, the
// store, heartbeats that are lost, configurations that change, drains and
// evacuations. Where that matters, its figures differ from those of real hosts
// (docs/studies/decisions-under-load.md holds two days against each other).
//
// Model owns the clock and all state of one run; host.go has what a host decides,
// client.go what clients do, upstream.go the upstreams, result.go the figures.
package loadmodel
