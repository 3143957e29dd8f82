// Package proxy serves client requests. It reads a request, matches it to a route, sends
// it to an upstream, and forwards the upstream's response. When there is no response to
// forward, it writes an error response that says whether the request may have run. The
// package owns the requests in flight and the client connections. The configuration and
// the upstreams come from a routing.State. A balance.Balancer chooses the upstream, and
// an exchange.Client makes each attempt on the wire.
//
// Where each decision about a request is made:
//
//	why the request was refused     request.go before an attempt, refuse.go after it;
//	                                package retry for the Retry-After delay
//	why this upstream was chosen    choose.go, then package balance
//	why the request was sent twice  package retry for the rules, retry.go and
//	                                hedge.go for the attempts
//	why another host sent it        package indirect for the choice of the host,
//	                                indirect.go and serveindirect.go
//	what a response means           classify.go; without a response, proof.go of
//	                                package exchange
//	how long the request may take   deadline.go
//	what is logged                  decisionlog.go, and package eventlog for each field
//	what a stop does to it          stop.go
package proxy
