// Package balance decides which upstream of a service serves a request, or why no upstream
// accepts it.
//
// An upstream works about three times as fast on an object that it served recently.
// Therefore a request with a key goes to the first upstreams of the key's preference list,
// as in Dynamo. Rendezvous hashing orders the list. A request that none of these upstreams
// accepts is rejected. A request without affinity goes to the least loaded of a few nearby
// upstreams, and is rejected only if all are full.
//
// Each rule is in its own file:
//
//   - region.go: which region serves a key first;
//   - order.go: in which order upstreams are tried;
//   - preferencelist.go: the first upstreams of that order, for a request with a key;
//   - summary.go: capacity, health and load of all upstreams of a service, by region;
//   - ejected.go: when ejected upstreams are tried last;
//   - withheld.go: which upstreams are skipped because of their own notices;
//   - unreachable.go: which upstreams are tried last because others near them were
//     unreachable;
//   - reserved.go: the capacity that is left to requests bound to a region;
//   - admission.go: whether an upstream accepts a request, by its load and, while
//     it is cold, by the host's warm-up quota;
//   - preferred.go and leastloaded.go: which of the ordered upstreams is
//     chosen, with and without affinity;
//   - load.go: the estimate of an upstream's load;
//   - evenload.go: which of a key's upstreams is chosen by the mean of their reports, if
//     Policy.EvenLoad is on;
//   - loadreport.go: reports that hosts exchange;
//   - zonecopies.go: one upstream for a key in each zone, if Policy.ZoneCopies is on.
//
// Comments of constants state how many responses arrived within their objective. These
// figures come from the scenario uneven-regions of package loadmodel, run for 30 s with
// three seeds in a busy hour, of which 15 s have 1.6 times the load
// (TestTheDefaultsServeABusyHourWell).
//
// A Balancer owns one host's estimates of the load of each upstream. Package upstream
// provides the running and the cold upstreams, package outlier the ejected ones, package
// notice the upstreams that accept no request now, and package fleet the host's warm-up
// quota.
package balance
