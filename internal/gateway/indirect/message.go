package indirect

import (
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/gateway/notice"
	"cairndock/internal/gateway/upstream"
	"cairndock/internal/peer"
	"cairndock/internal/poison"
	"cairndock/internal/verdict"
)

// MaxBodyBytes is the maximum size of the body of a Request, in bytes: that of a message between
// hosts.
const MaxBodyBytes = 1 << 20

// Request is a client's request as a host sends it to another one. It has no API key: the
// sender has authenticated the client and taken a token of its limit.
type Request struct {
	ID     string      `msgpack:"i"`
	Method string      `msgpack:"m"`
	Host   string      `msgpack:"h"`
	Target string      `msgpack:"t"`
	Header http.Header `msgpack:"e"`
	Body   []byte      `msgpack:"b"`
	// Key is the affinity key, and Account the name of the client account. Both may be
	// empty.
	Key     string `msgpack:"k,omitempty"`
	Account string `msgpack:"a,omitempty"`
	// Client is the client's IP address.
	Client string `msgpack:"c"`
	// Fingerprint identifies repetitions of the request.
	Fingerprint poison.Fingerprint `msgpack:"f"`
	// Config is the version of the configuration by which the sender accepted the request.
	Config int64 `msgpack:"v"`
	// LeftMillis is the time left until the deadline when the message was encoded. It is sent
	// in place of the deadline, because the clocks of two hosts may differ. The deadline of
	// the stream holds as well.
	LeftMillis int64 `msgpack:"l"`
	// Attempts is the number of upstreams that may have received the request.
	Attempts int `msgpack:"n,omitempty"`
	// Counted is set if a host has counted the request for the retry budget.
	Counted bool `msgpack:"r,omitempty"`
	// Notices are the notices of upstreams that are in force at the sender. They hold for
	// its requests at the other host too.
	Notices []notice.Report `msgpack:"o,omitempty"`
	// Trace is the trace context.
	Trace map[string]string `msgpack:"x,omitempty"`
}

// Left returns the time left until the deadline.
func (r Request) Left() time.Duration { return time.Duration(r.LeftMillis) * time.Millisecond }

// DecodeRequest decodes a message. It returns an error if the message is not a request that a
// host sends.
func DecodeRequest(payload []byte) (Request, error) {
	r, err := peer.Decode[Request](payload)
	if err != nil {
		return Request{}, err
	}
	return r, r.check()
}

// check returns an error if a field is out of range. The method, the target and the host are
// written to the upstream as they are, so that a delimiter in them would begin another header
// line or request.
func (r Request) check() error {
	switch {
	case r.Header == nil, r.Method == "", r.Target == "", r.Attempts < 0, r.LeftMillis > maxLeft.Milliseconds():
		return eris.New("a field is missing or out of range")
	case strings.ContainsFunc(r.Method+r.Target+r.Host, isDelimiter):
		return eris.New("the method, target or host contains a space or a control character")
	}
	return nil
}

// maxLeft is the longest time left that is accepted.
const maxLeft = 24 * time.Hour

func isDelimiter(c rune) bool { return c <= ' ' || c == 0x7f }

// Reply is the head of a response, or an error if Reason is set.
type Reply struct {
	Status int         `msgpack:"s,omitempty"`
	Header http.Header `msgpack:"h,omitempty"`
	// Length is that of the body in bytes, or -1 if it is unknown.
	Length   int64  `msgpack:"l,omitempty"`
	Upstream string `msgpack:"u,omitempty"`
	// Run is the run of the upstream that responded.
	Run     upstream.Run    `msgpack:"n,omitempty"`
	Verdict verdict.Verdict `msgpack:"v,omitempty"`
	Reason  verdict.Reason  `msgpack:"r,omitempty"`
	Detail  string          `msgpack:"d,omitempty"`
	// RetryMillis is the delay after which the client should retry; zero for none.
	RetryMillis int64 `msgpack:"y,omitempty"`
	// Counted is set if the replying host has counted the request for the retry budget.
	Counted bool `msgpack:"c,omitempty"`
}

// NewErrorReply returns the reply for an error.
func NewErrorReply(e *verdict.Error, counted bool) Reply {
	return Reply{Verdict: e.Verdict, Reason: e.Reason, Detail: e.Detail, Upstream: e.Upstream, RetryMillis: e.RetryAfter.Milliseconds(), Counted: counted}
}

// isResponse reports whether the reply is the head of a final response.
func (r Reply) isResponse() bool {
	return r.Reason == "" && r.Status >= http.StatusOK && r.Status <= maxStatus && r.Length >= -1
}

// maxStatus is the highest status that HTTP permits.
const maxStatus = 999

// err returns the error of a reply, or nil. A stopping peer does not mean that this host is
// stopping. A route or an account that the peer does not know is known to this host, so that
// the client must not be told that they don't exist.
func (r Reply) err() *verdict.Error {
	if r.Reason == "" {
		return nil
	}
	reason := r.Reason
	switch reason {
	case verdict.Stopping, verdict.Interrupted:
		reason = verdict.PeerStopping
	case verdict.UnknownRoute, verdict.UnknownKey, verdict.BadRequest:
		reason = verdict.PeerFailed
	}
	e := verdict.New(r.Verdict, reason, "%s", r.Detail).WithUpstream(r.Upstream)
	return e.WithRetryAfter(time.Duration(r.RetryMillis) * time.Millisecond)
}
