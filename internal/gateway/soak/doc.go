// Package soak has only tests: it runs real gateway processes on loopback and
// injects faults from outside, while clients hold what they are told against
// what the upstreams did. See docs/operations/soak.md.
package soak
