package forward

import (
	"context"
	"net/http"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"cairndock/internal/selector/call"
	"cairndock/internal/selector/member"
	"cairndock/internal/verdict"
)

// Message forwards a request to a host that may admit it, or that issued its
// ticket.
type Message struct {
	Service string      `msgpack:"s"`
	Rule    string      `msgpack:"r"`
	Method  string      `msgpack:"m"`
	Target  string      `msgpack:"t"`
	Header  http.Header `msgpack:"h"`
	Body    []byte      `msgpack:"b"`
	Ticket  string      `msgpack:"k"`
	// LeftMillis is the time left until the deadline, and WaitMillis the
	// time the request may wait for a slot.
	LeftMillis int64 `msgpack:"l"`
	WaitMillis int64 `msgpack:"w"`
	// Passed is set when the host may not forward the request again.
	Passed bool              `msgpack:"p"`
	Trace  map[string]string `msgpack:"c"`
}

// reply is a response's head, or a refusal.
type reply struct {
	Status   int             `msgpack:"s"`
	Header   http.Header     `msgpack:"h"`
	Length   int64           `msgpack:"l"`
	Upstream string          `msgpack:"u"`
	Verdict  verdict.Verdict `msgpack:"v"`
	// Reason is set when there is no response.
	Reason      verdict.Reason `msgpack:"r"`
	Detail      string         `msgpack:"d"`
	RetryMillis int64          `msgpack:"y"`
	// Free is the admitting host's slots, in every reply.
	Free member.ServiceSlots `msgpack:"f"`
}

// err gives the verdict that a reply holds. That its host is stopping is not said of this
// one, whose client would be sent away.
func (r reply) err() *verdict.Error {
	reason := r.Reason
	if reason == verdict.Stopping {
		reason = verdict.PeerStopping
	}
	e := verdict.New(r.Verdict, reason, "%s", r.Detail).WithUpstream(r.Upstream)
	return e.WithRetryAfter(time.Duration(r.RetryMillis) * time.Millisecond)
}

// NewMessage makes the message of a request, which may wait for a slot until a
// time; the zero time is not at all.
func NewMessage(ctx context.Context, req *call.Request, rule string, until time.Time) Message {
	carrier := propagation.MapCarrier{}
	otel.GetTextMapPropagator().Inject(ctx, carrier)
	return Message{
		Service: req.Service, Rule: rule, Method: req.Method, Target: req.Target,
		Header: req.Header, Body: req.Body, Ticket: req.Ticket,
		LeftMillis: time.Until(req.Deadline).Milliseconds(),
		WaitMillis: max(0, time.Until(until).Milliseconds()),
		Trace:      carrier,
	}
}

// Request gives the request that a message carries.
func (m Message) Request() *call.Request {
	return &call.Request{
		Service: m.Service, Method: m.Method, Target: m.Target, Header: m.Header, Body: m.Body, Ticket: m.Ticket,
		Deadline: time.Now().Add(time.Duration(m.LeftMillis) * time.Millisecond),
	}
}
