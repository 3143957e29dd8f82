// Package reach determines whether a host has lost its network path to all upstreams while
// its clients, the store and the other hosts still reach it.
//
// Failed attempts at several upstreams in several availability zones are only a suspicion,
// because the upstreams may have terminated or be slow, or the host may have been short of
// CPU time (suspicion.go). A Monitor then opens connections to a sample of the upstreams
// (sample.go). The host counts as isolated if none of them accepts one. While it is
// isolated, the Monitor repeats the check, so that no client's request is needed to find
// out that the path is back.
package reach
