// Package verdict says whether a request may have run at an upstream.
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
	// MayHaveRun is every doubt: a byte may have reached an upstream.
	MayHaveRun
	// Ran is proof that an upstream ran the request.
	Ran
)

// Header is the name of the HTTP header that carries a verdict.
const Header = "Cairndock-Verdict"

// String gives the verdict's name as callers see it.
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

// Reason says why a request got no upstream answer.
type Reason string

// The reasons, each with one HTTP status.
const (
	UnknownService Reason = "unknown-service"
	BadTicket      Reason = "bad-ticket"
	BadTimeout     Reason = "bad-timeout"
	BadRequest     Reason = "bad-request"
	TicketConflict Reason = "ticket-conflict"
	TicketRunning  Reason = "ticket-running"
	TicketUnknown  Reason = "ticket-unknown"
	BodyTooLarge   Reason = "body-too-large"
	HeaderTooLarge Reason = "header-too-large"
	BodyStalled    Reason = "body-stalled"
	Full           Reason = "full"
	Capped         Reason = "capped"
	NoUpstream     Reason = "no-upstream"
	NotReady       Reason = "not-ready"
	Stopping       Reason = "stopping"
	DeadlineLapsed Reason = "deadline-lapsed"
	CallerLeft     Reason = "caller-left"
	UpstreamFailed Reason = "upstream-failed"
	UpstreamShed   Reason = "upstream-shed"
	// Unreachable says that no connection to the upstream was made.
	Unreachable Reason = "unreachable"
	// Misdirected says that another instance has the address now.
	Misdirected Reason = "misdirected"
	// Interrupted says that the host had to end before the answer came.
	Interrupted Reason = "interrupted"
	// UnknownRoute says that no route matches the host and path.
	UnknownRoute Reason = "unknown-route"
	// Warming says that the upstreams are cold and have their share.
	Warming         Reason = "warming"
	PeerFailed      Reason = "peer-failed"
	AnswerTruncated Reason = "answer-truncated"
	AnswerNotKept   Reason = "answer-not-kept"
)

var statuses = map[Reason]int{
	UnknownService:  http.StatusNotFound,
	BadTicket:       http.StatusBadRequest,
	BadTimeout:      http.StatusBadRequest,
	BadRequest:      http.StatusBadRequest,
	TicketConflict:  http.StatusUnprocessableEntity,
	TicketRunning:   http.StatusConflict,
	TicketUnknown:   http.StatusBadGateway,
	BodyTooLarge:    http.StatusRequestEntityTooLarge,
	HeaderTooLarge:  http.StatusRequestHeaderFieldsTooLarge,
	BodyStalled:     http.StatusGatewayTimeout,
	Full:            http.StatusServiceUnavailable,
	Capped:          http.StatusServiceUnavailable,
	NoUpstream:      http.StatusServiceUnavailable,
	NotReady:        http.StatusServiceUnavailable,
	Stopping:        http.StatusServiceUnavailable,
	DeadlineLapsed:  http.StatusGatewayTimeout,
	Interrupted:     http.StatusGatewayTimeout,
	CallerLeft:      http.StatusGatewayTimeout,
	UpstreamFailed:  http.StatusBadGateway,
	UpstreamShed:    http.StatusServiceUnavailable,
	Unreachable:     http.StatusServiceUnavailable,
	Misdirected:     http.StatusServiceUnavailable,
	UnknownRoute:    http.StatusNotFound,
	Warming:         http.StatusServiceUnavailable,
	PeerFailed:      http.StatusBadGateway,
	AnswerTruncated: http.StatusBadGateway,
	AnswerNotKept:   http.StatusGone,
}

// Status is the HTTP status a reason is told with.
func (r Reason) Status() int {
	if s, ok := statuses[r]; ok {
		return s
	}
	return http.StatusBadGateway
}

// Error is a failed request together with its verdict.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Reason is the machine-readable cause.
	Reason Reason
	// Detail is one short sentence for people.
	Detail string
	// RetryAfter tells the caller when to come back; zero means not at all.
	RetryAfter time.Duration
	// Upstream names the zone and instance tried last, if any.
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

// WithRetryAfter gives a copy that tells the caller when to come back.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithUpstream gives a copy that names the upstream tried.
func (e *Error) WithUpstream(name string) *Error {
	c := *e
	c.Upstream = name
	return &c
}

// From finds the Error inside err; any other error is every doubt.
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
