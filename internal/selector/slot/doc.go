// Package slot decides which request of a service may go to which upstream of
// the host's own zone. An upstream has a number of slots; holding one is the
// right to have one request outstanding there. A host uses only the slots that
// package roster says it holds, so that no upstream ever has more requests
// outstanding than slots, whatever the other hosts do.
//
// Pool is the state of one service, without locks or clock: the slots held, the
// requests outstanding, each upstream's concurrency limit and ejection, and the
// limits of the service's rules. Gate shares a pool between goroutines and lets
// requests wait for a slot. The decisions stand in rule.go (a rule's own limits),
// limit.go (how many slots of an upstream may be used), eject.go (how long an
// upstream gets nothing) and choose.go (whether an upstream may get a request,
// and which one of a rule does).
//
// The package relies on its caller for the specs (package entry/rosters works
// them out from the configuration, the roster and which upstreams are leaving)
// and for releasing each lease exactly once. Whether the host may use its slots
// at all, package entry/admission asks package entry/fence after each Acquire.
package slot
