// Package poison finds requests that end the upstreams that run them (poison
// requests), and says from when on they are refused (quarantined).
//
// An upstream that ends takes all that it runs with it: one guilty request and many
// innocent ones. So each is suspected only, and a Table collects for each, by its
// Fingerprint, the ends of upstreams under it that all hosts saw. A request is
// quarantined once it has ended maxRounds upstreams one after the other
// (suspect.go), while no other request explains these ends better (decide.go). A
// response clears it, as a poison request never gets one.
//
// The package owns these suspicions and the decision. It is plain state with a lock:
// what counts as an upstream's end is up to its callers, which also carry reports
// between hosts (Since, Merge). Suspicions only grow and are only ever cleared, so that
// hosts may merge reports in any order and more than once.
//
// The idea of counting at the message, for whoever delivers it next, is the delivery
// limit of quorum queues (docs/design/poison.md); here no leader counts, and an end
// counts in place of a delivery.
package poison
