// Package soak contains only tests. It runs real gateway processes on loopback, as
// child processes of the test binary, against fakes of the platform (platformtest).
// Overlapping faults, chosen by a seed, are injected from outside. At the same time
// clients compare the responses that they get with the requests that the upstreams
// ran. A guarantee that does not hold is a violation and fails the test.
//
//	soak_test.go         the tests, earlier failed seeds, and the phases of one run
//	world_test.go        the state of one run: hosts, upstreams, store, configuration
//	size_test.go         limits on the size of a run
//	host_test.go         a gateway process and its supervisor
//	upstream_test.go     a fake upstream, and the ledger of arrived and run requests
//	link_test.go         a TCP proxy with faults
//	planned_test.go      operations of operators
//	faults_test.go       unplanned faults
//	disruptions_test.go  the periods in which a host, an upstream or the store had faults
//	client_test.go       clients and the checks of their responses
//	conn_test.go         a client's connection, and the outcome of a request on it
//	cuts_test.go         the check that no request is cut
//	cold_test.go         the check that cold upstreams are not overloaded
//	checks_test.go       other checks during and after a run
//	retries_test.go      the check that hosts together stay within the limit on retries
//	accounts_test.go     client accounts: revoked keys, and a limit
//	entries_test.go      restarted upstreams, and malformed entries in the store
//	notice_test.go       notices in upstreams' responses, without other faults
//	said_test.go         the same together with all other faults
//	poison_test.go       requests that terminate upstreams
//	ended_test.go        upstreams that terminate at the same time
//	flood_test.go        upstreams that send bytes without end
//	isolation_test.go    hosts that are cut off from all upstreams
//	recovery_test.go     checks after all faults
//	restore_test.go      a restore of the store from a copy, without other faults
//	stall_test.go        where the time of lost requests was spent
//	recorder_test.go     a record of a run by second, and page_test.go its report
//	artifacts_test.go    logs, heap profiles and reports of a run
//
// To run one seed again and keep the hosts' logs and the report page:
//
//	SOAK_FIRST=SEED SOAK_LOGS=DIR SOAK_REPORT=DIR \
//	    go test -count 1 -v -run 'TestSoak$' ./internal/gateway/soak
//
// A seed reproduces the faults only approximately: overlapping faults share one
// random source, and the machine decides how they coincide with requests.
// docs/operations/soak.md describes the other variables.
package soak
