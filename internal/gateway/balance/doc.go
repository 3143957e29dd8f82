// Package balance decides which upstream of a service a request goes to, or
// why none of them takes it.
//
// An upstream works about three times as fast on an object that it served
// lately. So a request with a key goes to the first upstreams of the key's
// preference list, as in Dynamo, which rendezvous hashing orders; beyond
// these it is rejected. A request without affinity goes to the least loaded
// of a few upstreams nearby, and is rejected only when all are full.
//
// Each rule stands in one file:
//
//   - region.go: which region serves a key first;
//   - order.go: in which order upstreams are tried;
//   - preferencelist.go: the first of that order, for a request with a key;
//   - summary.go: what all upstreams of a service say together;
//   - ejected.go: when ejected upstreams are tried last;
//   - withheld.go: which upstreams are passed over for what they say of themselves;
//   - admission.go: whether an upstream takes a request, by its load and, while
//     it is cold, by the host's warm-up quota;
//   - preferred.go and leastloaded.go: which of the ordered upstreams is
//     picked, with and without affinity;
//   - load.go: the estimate of an upstream's load.
//
// Where a constant says how many responses came within their objective, that is of the
// scenario uneven-regions of package loadmodel, 30 s and three seeds, in a busy hour: 15
// s of 1.6 times the load (TestTheDefaultsServeABusyHourWell).
//
// A Balancer owns what one host knows of the load of each upstream. It relies
// on package upstream for which upstreams run and are cold, on package outlier
// for which are ejected, on package notice for which say that they take no request
// now, and on package fleet for the host's warm-up quota.
package balance
