// Package soak has only tests. It runs real gateway processes on loopback, as
// children of the test binary, against stand-ins of the platform
// (platformtest), and injects overlapping faults from outside, chosen by a
// seed. Meanwhile clients check the responses that they get against what the
// upstreams did; a guarantee that does not hold is a violation and fails the test.
//
//	soak_test.go         the tests, kept seeds, and the course of one run
//	world_test.go        one run: hosts, upstreams, store, configuration
//	size_test.go         how large a run may be
//	host_test.go         a gateway process and its supervisor
//	upstream_test.go     an upstream, and the ledger of what arrived and ran
//	link_test.go         a TCP link with faults
//	planned_test.go      what operators do
//	faults_test.go       what goes wrong
//	disruptions_test.go  when a host, an upstream or the store had faults
//	client_test.go       clients, and what they check at once
//	conn_test.go         a client's connection, and how a request on it ends
//	cuts_test.go         the check that no request is cut
//	cold_test.go         the check that cold upstreams are not flooded
//	checks_test.go       what else is checked beside them and at the end
//	accounts_test.go     client accounts: keys taken away, and a limit
//	notice_test.go       what upstreams say of themselves in their responses, alone
//	said_test.go         the same beside all faults
//	recovery_test.go     what must work after all faults
//	restore_test.go      the store comes back from a copy, alone
//	stall_test.go        where the time of lost requests went
//	recorder_test.go     a run second by second, and page_test.go its report
//	artifacts_test.go    logs, heap profiles and reports kept of a run
//
// To play one seed again, and keep its hosts' logs and its page:
//
//	SOAK_FIRST=SEED SOAK_LOGS=DIR SOAK_REPORT=DIR go test -count 1 -v -run 'TestSoak$' ./internal/gateway/soak
//
// A seed repeats the faults only roughly: those that overlap draw from one source,
// and how they meet the requests is up to the machine. docs/operations/soak.md has
// the other variables.
package soak
