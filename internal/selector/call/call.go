// Package call defines the request and response types that the packages of a
// serve host exchange, and the headers that its clients and upstreams use.
package call

import (
	"io"
	"net/http"
	"time"

	"cairndock/internal/verdict"
)

// The headers of the protocol of serve, in addition to verdict.Header.
const (
	// HeaderTicket contains a ticket, in requests of clients and in requests to
	// upstreams.
	HeaderTicket = "Cairndock-Ticket"
	// HeaderTimeout is the time that the client waits, as a Go duration.
	HeaderTimeout = "Cairndock-Timeout"
	// HeaderUpstream is the upstream that responded, "zone/name", in responses to
	// clients.
	HeaderUpstream = "Cairndock-Upstream"
	// HeaderShed is "not-run" on a 503 response of an upstream that did not run
	// the request.
	HeaderShed = "Cairndock-Shed"
	// HeaderState is StateLeaving on responses of an upstream that is leaving.
	HeaderState = "Cairndock-State"
	// HeaderInstance is the upstream's incarnation.
	HeaderInstance = "Cairndock-Instance"
	// HeaderLoad is the load that the upstream reports, 0 to 1.
	HeaderLoad = "Cairndock-Load"
	// HeaderDeadline is a Unix time in milliseconds, after which an upstream
	// must neither start nor continue a request.
	HeaderDeadline = "Cairndock-Deadline"
)

// StateLeaving is the value of HeaderState on an upstream that is leaving.
const StateLeaving = "leaving"

// Request is a client's request. It is immutable after its creation.
type Request struct {
	// Service is the name of the requested service.
	Service string
	// Method is the HTTP method.
	Method string
	// Target is the path and query for the upstream.
	Target string
	// Header contains the end-to-end headers.
	Header http.Header
	// Body is the complete body, within the host's limit.
	Body []byte
	// Deadline is the time at which the client stops waiting.
	Deadline time.Time
	// Ticket is the client's ticket, or empty.
	Ticket string
}

// Response is an upstream's response. Body must be closed.
type Response struct {
	// Status is the HTTP status.
	Status int
	// Header contains the end-to-end headers.
	Header http.Header
	// Body is the response's body. A read error other than io.EOF means that
	// the response is incomplete.
	Body io.ReadCloser
	// Length is the body's length in bytes, or -1 if it is unknown.
	Length int64
	// Upstream is "zone/name".
	Upstream string
	// Verdict is Ran, unless the upstream refused the request.
	Verdict verdict.Verdict
}
