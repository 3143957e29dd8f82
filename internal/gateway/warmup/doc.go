// Package warmup has the terms in which hosts keep the rate of a cold (warming-up)
// upstream together, without a message between them: each sends its quota of it in
// any second, and no more.
//
// It owns what a quota is, why a host has none (Quota), and the count of what one
// host sent to an upstream (Sends). Package fleet splits the rate into quotas, and
// package balance holds requests to them. It has no lock and no clock.
package warmup
