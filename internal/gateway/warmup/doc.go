// Package warmup defines how hosts limit the rate of requests to a cold (warming-up)
// upstream together without exchanging messages: each host sends at most its quota to the
// upstream in any second.
//
// The package defines the quota, the reasons why a host has none (Quota), and the count of
// the requests that one host sent to an upstream (Sends). Package fleet divides the rate
// into quotas, and package balance enforces them. This package has neither locks nor a
// clock.
package warmup
