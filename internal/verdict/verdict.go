// Package verdict defines whether an upstream may have run a failed request,
// and why the request failed.
//
// The verdict decides what may follow. A request that did not run may be sent
// again, and the client can rely on this. A request that may have run is sent
// again only if it is idempotent. Both programs, serve and gateway, use the
// same verdicts and reasons, but each encodes them for clients in its own way.
package verdict

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Verdict is what is known about the execution of a request.
type Verdict uint8

const (
	// NotRun means it is proven that no upstream began to run the request.
	NotRun Verdict = iota + 1
	// MayHaveRun means that there is no proof either way: an upstream may have
	// received a byte of the request.
	MayHaveRun
	// Ran means it is proven that an upstream ran the request.
	Ran
)

// Header is the name of the HTTP header that carries a verdict.
const Header = "Cairndock-Verdict"

// String returns the name of the verdict in headers, logs and metrics.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Reason is the cause why a request got no response from an upstream.
type Reason string

// The reasons of both programs. Their values appear in logs, metrics and
// problem bodies, so they never change.
const (
	// NotReady: the host has just started and has no configuration yet.
	NotReady Reason = "not-ready"
	// Stopping: the host's planned stop ended the request before it was sent.
	Stopping Reason = "stopping"
	// BadRequest: the request is malformed, or its body ended early.
	BadRequest Reason = "bad-request"
	// BodyTooLarge: the body exceeds the size limit.
	BodyTooLarge Reason = "body-too-large"
	// HeaderTooLarge: the header exceeds the size limit.
	HeaderTooLarge Reason = "header-too-large"
	// BodyStalled: the client did not send the complete body in time.
	BodyStalled Reason = "body-stalled"
	// BodiesFull: the bodies of the requests in flight leave no memory for that
	// of the request.
	BodiesFull Reason = "bodies-full"
	// Full: every upstream that may serve the request is at its limit.
	Full Reason = "full"
	// NoUpstream: no upstream may serve the request, because all are
	// deregistered, draining, evacuated or in regions that are not allowed.
	NoUpstream Reason = "no-upstream"
	// DeadlineLapsed: the deadline passed before a response was received.
	DeadlineLapsed Reason = "deadline-lapsed"
	// Superseded: another attempt of the request got a response first.
	Superseded Reason = "superseded"
	// CallerLeft: the client closed its connection or canceled the request.
	CallerLeft Reason = "caller-left"
	// UpstreamFailed: the upstream's response is missing, malformed or unsigned.
	UpstreamFailed Reason = "upstream-failed"
	// UpstreamShed: the upstream rejected the request and proved that it did
	// not run.
	UpstreamShed Reason = "upstream-shed"
	// UpstreamDeclined: the upstream rejected the request and proved that it
	// did not run, although the upstream had reported free capacity.
	UpstreamDeclined Reason = "upstream-declined"
	// AnswerTruncated: the response ended before its full length.
	AnswerTruncated Reason = "answer-truncated"

	// Quarantined: several upstreams terminated one after the other while they
	// ran this request, so it is not sent to any upstream.
	Quarantined Reason = "quarantined"
	// UnknownRoute: no route matches the host and path of the request.
	UnknownRoute Reason = "unknown-route"
	// UnknownKey: the request's API key is missing, repeated or belongs to no
	// client account.
	UnknownKey Reason = "unknown-key"
	// KeyUnconfirmed: the host has not learned for too long whether API keys
	// were revoked, and it is configured to serve no requests in that case.
	KeyUnconfirmed Reason = "key-unconfirmed"
	// OverLimit: the client account exceeds its request limit, as far as this
	// host knows.
	OverLimit Reason = "over-limit"
	// Warming: the upstreams with free capacity are cold and have used up their
	// warm-up quota.
	Warming Reason = "warming"
	// Withheld: the upstreams that may serve the request report that they
	// accept no requests at present.
	Withheld Reason = "withheld"
	// Unreachable: no connection to the upstream was established in time.
	Unreachable Reason = "unreachable"
	// ConnectionRefused: nothing listens at the upstream's address.
	ConnectionRefused Reason = "connection-refused"
	// Misdirected: the address now belongs to another upstream.
	Misdirected Reason = "misdirected"
	// Interrupted: the host's planned stop ended the request while an upstream
	// may have been running it.
	Interrupted Reason = "interrupted"

	// UnknownService: no such service is configured.
	UnknownService Reason = "unknown-service"
	// BadTimeout: the client's timeout is malformed.
	BadTimeout Reason = "bad-timeout"
	// BadTicket: the ticket is malformed or not valid for the request.
	BadTicket Reason = "bad-ticket"
	// TicketConflict: the ticket was used for a different request.
	TicketConflict Reason = "ticket-conflict"
	// TicketRunning: the ticket's request is still running.
	TicketRunning Reason = "ticket-running"
	// TicketUnknown: it is not known whether the request of the ticket ran,
	// usually because the host that issued the ticket no longer exists or is
	// unreachable.
	TicketUnknown Reason = "ticket-unknown"
	// AnswerNotKept: the request of the ticket ran, but its response was not
	// stored.
	AnswerNotKept Reason = "answer-not-kept"
	// Capped: the caps of the rules leave no share for the request.
	Capped Reason = "capped"
	// PeerStopping: the peer that received the request is stopping.
	PeerStopping Reason = "peer-stopping"
	// PeerFailed: the peer that the request was forwarded to failed.
	PeerFailed Reason = "peer-failed"
)

// Status returns the HTTP status that serve sends for the reason, or 502 for a
// reason that is not listed. The status that the gateway sends also depends on
// the verdict and is determined in package platform.
func (r Reason) Status() int {
	switch r {
	case BadRequest, BadTimeout, BadTicket:
		return http.StatusBadRequest
	case UnknownKey:
		return http.StatusUnauthorized
	case OverLimit:
		return http.StatusTooManyRequests
	case UnknownRoute, UnknownService:
		return http.StatusNotFound
	case TicketRunning:
		return http.StatusConflict
	case AnswerNotKept:
		return http.StatusGone
	case BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case TicketConflict:
		return http.StatusUnprocessableEntity
	case HeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case NotReady, Stopping, PeerStopping, KeyUnconfirmed, BodiesFull, Full, Capped, Quarantined, Warming, Withheld, NoUpstream, Unreachable, ConnectionRefused, Misdirected, UpstreamShed, UpstreamDeclined:
		return http.StatusServiceUnavailable
	case BodyStalled, DeadlineLapsed, Interrupted, CallerLeft:
		return http.StatusGatewayTimeout
	default: // UpstreamFailed, AnswerTruncated, PeerFailed, TicketUnknown
		return http.StatusBadGateway
	}
}

// Error describes a failed request and its verdict.
type Error struct {
	// Verdict is whether the request may have run.
	Verdict Verdict
	// Reason is the machine-readable cause.
	Reason Reason
	// Detail is one short sentence for logs and readers.
	Detail string
	// RetryAfter is the delay after which the client should retry, or zero for
	// no advice.
	RetryAfter time.Duration
	// Upstream is the name of the upstream that the request was last sent to,
	// or empty.
	Upstream string
}

// New returns an Error whose Detail is formatted from format and args.
func New(v Verdict, r Reason, format string, args ...any) *Error {
	return &Error{Verdict: v, Reason: r, Detail: fmt.Sprintf(format, args...)}
}

// Error implements the error interface.
func (e *Error) Error() string {
	return string(e.Reason) + " (" + e.Verdict.String() + "): " + e.Detail
}

// WithRetryAfter returns a copy of the error with the delay after which to
// retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithUpstream returns a copy of the error with the upstream that the request
// was sent to.
func (e *Error) WithUpstream(name string) *Error {
	c := *e
	c.Upstream = name
	return &c
}

// From returns the Error in the chain of err, or nil if err is nil. Any other
// error proves nothing, so From returns an Error with MayHaveRun and
// UpstreamFailed for it.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(MayHaveRun, UpstreamFailed, "%s", err.Error())
}
