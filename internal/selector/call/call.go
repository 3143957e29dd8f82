// Package call holds the request and response that pass between the parts of a
// serve host, and the headers that its clients and upstreams use.
package call

import (
	"io"
	"net/http"
	"time"

	"cairndock/internal/verdict"
)

// The headers of serve's protocol, beside verdict.Header.
const (
	// HeaderTicket carries a ticket, from the client and to the upstream.
	HeaderTicket = "Cairndock-Ticket"
	// HeaderTimeout is how long the client waits, as a Go duration.
	HeaderTimeout = "Cairndock-Timeout"
	// HeaderUpstream is, for the client, the upstream that responded: "zone/name".
	HeaderUpstream = "Cairndock-Upstream"
	// HeaderShed is "not-run" on an upstream's 503 that proves that the request
	// did not run.
	HeaderShed = "Cairndock-Shed"
	// HeaderState is StateLeaving on responses of an upstream that is leaving.
	HeaderState = "Cairndock-State"
	// HeaderInstance is the upstream's incarnation.
	HeaderInstance = "Cairndock-Instance"
	// HeaderLoad is the upstream's own view of its load, 0 to 1.
	HeaderLoad = "Cairndock-Load"
	// HeaderDeadline is an absolute Unix time in milliseconds, after which
	// an upstream must neither start nor go on with a request.
	HeaderDeadline = "Cairndock-Deadline"
)

// StateLeaving is the value of HeaderState on an upstream that is leaving.
const StateLeaving = "leaving"

// Request is one client's request. It is not changed after it is made.
type Request struct {
	// Service names the service asked for.
	Service string
	// Method is the HTTP method.
	Method string
	// Target is the path and query for the upstream.
	Target string
	// Header holds the end-to-end headers.
	Header http.Header
	// Body is the whole body, within the host's limit.
	Body []byte
	// Deadline is when the client stops waiting.
	Deadline time.Time
	// Ticket is the client's ticket, or empty.
	Ticket string
}

// Response is an upstream's response. Body must be closed.
type Response struct {
	// Status is the HTTP status.
	Status int
	// Header holds the end-to-end headers.
	Header http.Header
	// Body is the response's body. A read error other than io.EOF means that
	// the response is not whole.
	Body io.ReadCloser
	// Length is the body's length in bytes, or -1 when not known ahead.
	Length int64
	// Upstream is "zone/name".
	Upstream string
	// Verdict is Ran, but for an upstream's own rejection.
	Verdict verdict.Verdict
}
