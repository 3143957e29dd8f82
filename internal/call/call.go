// Package call holds the request and the answer that pass between parts.
package call

import (
	"io"
	"net/http"
	"strings"
	"time"

	"cairndock/internal/verdict"
)

// Header names that callers, hosts and upstreams use.
const (
	HeaderTicket   = "Cairndock-Ticket"
	HeaderTimeout  = "Cairndock-Timeout"
	HeaderUpstream = "Cairndock-Upstream"
	HeaderShed     = "Cairndock-Shed"
	HeaderState    = "Cairndock-State"
	HeaderInstance = "Cairndock-Instance"
	// HeaderDeadline is an absolute Unix time in milliseconds, after which
	// an upstream must neither start nor go on with a request.
	HeaderDeadline = "Cairndock-Deadline"
)

// StateLeaving is the value of HeaderState on an upstream that is leaving.
const StateLeaving = "leaving"

// Request is one caller's request. It is not changed after it is made.
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
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Ticket is the caller's ticket, or empty.
	Ticket string
}

// Answer is an upstream's answer. Body must be closed.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Header holds the end-to-end headers.
	Header http.Header
	// Body is the answer's body; a read error other than io.EOF means that
	// the answer is not whole.
	Body io.ReadCloser
	// Length is the body's length in bytes, or -1 when not known ahead.
	Length int64
	// Upstream is "zone/instance".
	Upstream string
	// Verdict is Ran, but for an upstream's own refusal.
	Verdict verdict.Verdict
}

var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd copies h without the headers that hold for one hop only
// (RFC 9110 section 7.6.1).
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, field := range h.Values("Connection") {
		for name := range strings.SplitSeq(field, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}
