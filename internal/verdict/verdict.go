// Package verdict says of a failed request whether an upstream may have run it.
//
// The verdict decides what may follow: a request that did not run may be sent
// again, and its client may be sure of it; one that may have run is sent again only
// if it is idempotent. Both programs, serve and gateway, use the same verdicts and
// reasons; each has its own encoding of them for clients.
package verdict

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Verdict is what is known about a request's execution.
type Verdict uint8

const (
	// NotRun is proof that no upstream began the request.
	NotRun Verdict = iota + 1
	// MayHaveRun is anything less than proof: a byte may have reached an
	// upstream.
	MayHaveRun
	// Ran is proof that an upstream ran the request.
	Ran
)

// Header is the name of the HTTP header that carries a verdict.
const Header = "Cairndock-Verdict"

// String gives the verdict's name in headers, logs and metrics.
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

// Reason says why a request got no response of an upstream.
type Reason string

// The reasons of both programs. Their texts are in logs, metrics and problem
// bodies, so they never change.
const (
	// NotReady: the host has just started and has no configuration yet.
	NotReady Reason = "not-ready"
	// Stopping: the host's planned stop ended the request before it was sent.
	Stopping Reason = "stopping"
	// BadRequest: the request is malformed, or its body broke off.
	BadRequest Reason = "bad-request"
	// BodyTooLarge: the body is above the size limit.
	BodyTooLarge Reason = "body-too-large"
	// HeaderTooLarge: the header is above the size limit.
	HeaderTooLarge Reason = "header-too-large"
	// BodyStalled: the client did not send the whole body in time.
	BodyStalled Reason = "body-stalled"
	// Full: every upstream that may serve the request is at its limit.
	Full Reason = "full"
	// NoUpstream: no upstream may serve the request; all are gone, draining,
	// evacuated or in regions that are not allowed.
	NoUpstream Reason = "no-upstream"
	// DeadlineLapsed: the deadline passed before a response came.
	DeadlineLapsed Reason = "deadline-lapsed"
	// Superseded: another attempt of the request was answered first.
	Superseded Reason = "superseded"
	// CallerLeft: the client closed its connection or canceled the request.
	CallerLeft Reason = "caller-left"
	// UpstreamFailed: the upstream's response is missing, malformed or unsigned.
	UpstreamFailed Reason = "upstream-failed"
	// UpstreamShed: the upstream rejected the request, with proof.
	UpstreamShed Reason = "upstream-shed"
	// UpstreamDeclined: the upstream rejected the request, with proof, though it
	// reported free capacity.
	UpstreamDeclined Reason = "upstream-declined"
	// AnswerTruncated: the response ended before its whole length.
	AnswerTruncated Reason = "answer-truncated"

	// Quarantined: upstreams ended when they ran the same request, one after the
	// other, so that it is sent to none.
	Quarantined Reason = "quarantined"
	// UnknownRoute: no route matches host and path.
	UnknownRoute Reason = "unknown-route"
	// UnknownKey: the request's key is missing, repeated or of no client account.
	UnknownKey Reason = "unknown-key"
	// KeyUnconfirmed: the host has not heard for too long whether keys were taken
	// away, and is set to serve none then.
	KeyUnconfirmed Reason = "key-unconfirmed"
	// OverLimit: the client account is over its limit of requests, as far as this host
	// knows.
	OverLimit Reason = "over-limit"
	// Warming: the upstreams with capacity are cold and have used their warm-up
	// quota.
	Warming Reason = "warming"
	// Withheld: the upstreams that may serve the request say that they take none now.
	Withheld Reason = "withheld"
	// Unreachable: no connection to the upstream could be made in time.
	Unreachable Reason = "unreachable"
	// ConnectionRefused: nothing listens at the upstream's address.
	ConnectionRefused Reason = "connection-refused"
	// Misdirected: another upstream has the address now.
	Misdirected Reason = "misdirected"
	// Interrupted: the host's planned stop ended the request while an upstream
	// may have been at work on it.
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
	// TicketUnknown: whether the ticket's request ran is not known, mostly since
	// the host that issued the ticket is gone or can't be reached.
	TicketUnknown Reason = "ticket-unknown"
	// AnswerNotKept: the ticket's request ran, and its response is not kept.
	AnswerNotKept Reason = "answer-not-kept"
	// Capped: the rules' caps leave no share for the request.
	Capped Reason = "capped"
	// PeerStopping: the other host that was asked is stopping.
	PeerStopping Reason = "peer-stopping"
	// PeerFailed: the host that the request was forwarded to failed.
	PeerFailed Reason = "peer-failed"
)

// Status gives the reason's HTTP status; 502 for one that is not listed. It is
// what serve sends. What the gateway sends depends on the verdict too and is
// decided in package platform.
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
	case NotReady, Stopping, PeerStopping, KeyUnconfirmed, Full, Capped, Quarantined, Warming, Withheld, NoUpstream, Unreachable, ConnectionRefused, Misdirected, UpstreamShed, UpstreamDeclined:
		return http.StatusServiceUnavailable
	case BodyStalled, DeadlineLapsed, Interrupted, CallerLeft:
		return http.StatusGatewayTimeout
	default: // UpstreamFailed, AnswerTruncated, PeerFailed, TicketUnknown
		return http.StatusBadGateway
	}
}

// Error is a failed request together with its verdict.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Reason is the machine-readable cause.
	Reason Reason
	// Detail is one short sentence for the log and for people.
	Detail string
	// RetryAfter is when the client should retry; zero gives no advice.
	RetryAfter time.Duration
	// Upstream is the upstream that the request was last sent to, or empty.
	Upstream string
}

// New makes an Error.
func New(v Verdict, r Reason, format string, args ...any) *Error {
	return &Error{Verdict: v, Reason: r, Detail: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (e *Error) Error() string {
	return string(e.Reason) + " (" + e.Verdict.String() + "): " + e.Detail
}

// WithRetryAfter gives a copy with the time after which to retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithUpstream gives a copy with the upstream that the request was sent to.
func (e *Error) WithUpstream(name string) *Error {
	c := *e
	c.Upstream = name
	return &c
}

// From finds the Error inside err. Any other error proves nothing, so its
// request may have run.
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
