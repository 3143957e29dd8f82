// Package proxy serves clients by routes: it reads a request, sends it to an
// upstream, and forwards that upstream's response or writes an error of its
// own that says whether the request may have run. It owns the requests in
// flight and the clients' connections. The configuration and the upstreams
// come from a routing.State; which upstream takes a request is up to a
// balance.Balancer, and one attempt on the wire to an exchange.Client.
//
// Each decision about a request stands in one file:
//
//	why was it refused?       request.go before it was sent, refuse.go after;
//	                          package retry for when to return
//	why was it sent there?    choose.go, then package balance
//	why was it sent twice?    package retry the rules; retry.go and hedge.go
//	                          the attempts
//	what did a response mean? classify.go; without a response, proof.go of
//	                          package exchange
//	how long was it held?     deadline.go
//	what does the log say?    decisionlog.go, and package eventlog for each field
//	what did a stop do to it? stop.go
package proxy
