// Package rollout moves the traffic of a service to the upstreams of another software
// version, and back if that version is bad.
//
// An operator orders a roll-out (Order). The hosts then send a small fraction of the
// service's requests to the version, its canary fraction, and compare its responses with
// those of the other versions on the same routes at the same time (Evidence, Judge). The
// progress is a Record in the store, which any host may advance (Next, Controller):
//
//	canary ──► ramp ──► shift ──► succeeded
//	   └─────────┴────────┴─────► rolled back
//
// All traffic goes to the version only in the last part of the time that the order
// grants. A roll-out succeeds once no host has a request in flight at another version,
// because the platform stops the upstreams of other versions at that moment.
//
// The package decides. It relies on its caller for the rows of the store, for messages
// between hosts and for the counting of hosts. See docs/design/rollouts.md.
package rollout
