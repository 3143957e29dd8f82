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

// Message carries a forwarded request to a host that may admit the request, or
// that issued its ticket.
type Message struct {
	Service string      `msgpack:"s"`
	Rule    string      `msgpack:"r"`
	Method  string      `msgpack:"m"`
	Target  string      `msgpack:"t"`
	Header  http.Header `msgpack:"h"`
	Body    []byte      `msgpack:"b"`
	Ticket  string      `msgpack:"k"`
	// LeftMillis is the time left until the deadline, and WaitMillis the time
	// that the request may wait for a slot, both in milliseconds.
	LeftMillis int64 `msgpack:"l"`
	WaitMillis int64 `msgpack:"w"`
	// Passed is set when the receiver must not forward the request again.
	Passed bool              `msgpack:"p"`
	Trace  map[string]string `msgpack:"c"`
}

// reply is the head of a response, or a refusal.
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
	// Free reports the slots of the replying host. It is set in every reply.
	Free member.ServiceSlots `msgpack:"f"`
}

// err returns the verdict of a refusal. The reason Stopping of the peer becomes
// PeerStopping: with Stopping, this host would tell its own client to leave it for
// another host.
func (r reply) err() *verdict.Error {
	reason := r.Reason
	if reason == verdict.Stopping {
		reason = verdict.PeerStopping
	}
	e := verdict.New(r.Verdict, reason, "%s", r.Detail).WithUpstream(r.Upstream)
	return e.WithRetryAfter(time.Duration(r.RetryMillis) * time.Millisecond)
}

// NewMessage returns the message for a request that may wait for a slot until the
// given time. With the zero time, the request does not wait.
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

// Request returns the request that the message carries. Its deadline is computed
// from the time left.
func (m Message) Request() *call.Request {
	return &call.Request{
		Service: m.Service, Method: m.Method, Target: m.Target, Header: m.Header, Body: m.Body, Ticket: m.Ticket,
		Deadline: time.Now().Add(time.Duration(m.LeftMillis) * time.Millisecond),
	}
}
