// Package suspicions stops requests that terminate the upstreams that run them (poison
// requests, see package poison) from being sent to more upstreams.
//
// The package wraps the client that sends requests to upstreams. All requests of a zone
// use this client, including forwarded requests and requests with tickets. The package
// decides which failures count as the termination of an upstream. Package heartbeats
// shares the table of suspicions with other hosts (docs/design/poison.md).
package suspicions

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"cairndock/internal/poison"
	"cairndock/internal/selector/call"
	"cairndock/internal/selector/slot"
	"cairndock/internal/selector/upstream"
	"cairndock/internal/verdict"
)

const (
	// dialTimeout limits the connection attempt that checks whether an upstream has
	// terminated. It is far longer than a round trip within a zone.
	dialTimeout = 500 * time.Millisecond
	// minOpenTime is how long that connection must stay open to show that the upstream
	// still runs. A terminating process closes its listener and its connections one by
	// one, so it may accept a connection and close it shortly afterwards.
	minOpenTime = 20 * time.Millisecond
	// retryAfter is the delay after which a client may retry a quarantined request. It is
	// long because operators first have to examine the request.
	retryAfter = time.Minute
	// headerCredential is the header that identifies the client. Its value is empty for
	// clients that send no credential.
	headerCredential = "Authorization"
)

// Sender sends a request to an upstream.
type Sender interface {
	Send(ctx context.Context, t upstream.Target, req *call.Request, done upstream.Done) (*call.Response, error)
}

// Options configure a Guard.
type Options struct {
	Sender Sender
	Table  *poison.Table
	// Dial connects to upstreams. The default for nil is a net.Dialer with dialTimeout.
	Dial upstream.DialFunc
	// Leaving reports whether an upstream takes no new requests. Its termination is then
	// planned.
	Leaving func(upstream string) bool
	Log     zerolog.Logger
}

// Guard is a Sender that refuses quarantined requests.
type Guard struct{ Options }

// New returns a Guard.
func New(o Options) *Guard {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Guard{o}
}

// Send sends a request unless it is quarantined, and records whether the upstream
// terminates while it runs the request. Errors are of type *verdict.Error.
func (g *Guard) Send(ctx context.Context, t upstream.Target, req *call.Request, done upstream.Done) (*call.Response, error) {
	if !g.Table.Empty() && g.Table.Quarantined(fingerprint(req), time.Now()) {
		done(slot.Unused, 0)
		return nil, verdict.New(verdict.NotRun, verdict.Quarantined, "upstreams ended when they ran this request").WithRetryAfter(retryAfter)
	}
	startedAt := time.Now()
	resp, err := g.Sender.Send(ctx, t, req, done)
	if err != nil {
		termination := poison.Attempt{Began: startedAt, Ended: time.Now()}
		termination.Run = terminatedRun(t, termination.Ended)
		g.recordFailure(ctx, t, req, termination, verdict.From(err))
		return nil, err
	}
	out := *resp
	out.Body = &watchedBody{ReadCloser: resp.Body, onEOF: func() { g.recordResponse(req, resp.Status) }}
	return &out, nil
}

// terminatedRun returns a name for the run of an upstream that terminated at the given
// time, rounded down to the second. The incarnation that the upstream last reported is not
// used, because it may belong to the previous run: a poison request can be the first
// request of a new run. Two hosts may use different names for the same run. This does no
// harm, because two attempts that ended together never count as successive attempts.
func terminatedRun(t upstream.Target, at time.Time) string {
	return t.Zone + "/" + t.Name + "@" + strconv.FormatInt(at.Unix(), 10)
}

// fingerprint identifies a request by its content. The ticket is not included, because a
// client may send the same request again with a different ticket.
func fingerprint(req *call.Request) poison.Fingerprint {
	return poison.Content{
		Credential: req.Header.Get(headerCredential), Method: req.Method, Host: req.Service, Target: req.Target, Body: [][]byte{req.Body},
	}.Fingerprint()
}

// recordFailure checks whether an upstream that sent no response has terminated. For a
// request that is already suspected, the check is synchronous, because the request must
// not be sent to the next upstream before the result is known.
func (g *Guard) recordFailure(ctx context.Context, t upstream.Target, req *call.Request, termination poison.Attempt, e *verdict.Error) {
	if e.Verdict != verdict.MayHaveRun || e.Reason != verdict.UpstreamFailed || ctx.Err() != nil {
		return
	}
	f := fingerprint(req)
	check := func() {
		if g.Leaving(t.Name) || !g.refusesConnections(ctx, t.Addr) {
			return
		}
		g.Log.Warn().Str("upstream", termination.Run).Str("fingerprint", f.String()).Str("target", req.Target).Msg("suspicions: upstream terminated while running a request")
		g.Table.RecordTermination(f, termination)
	}
	if g.Table.Suspected(f) {
		check()
		return
	}
	go check()
}

// recordResponse clears a request of suspicion, because a poison request gets no
// response. Responses with a status of 500 or above do not clear it.
func (g *Guard) recordResponse(req *call.Request, status int) {
	if status < http.StatusInternalServerError && !g.Table.Empty() {
		g.Table.RecordResponse(fingerprint(req))
	}
}

// refusesConnections reports whether an address refuses connections, which shows that the
// process has terminated. If a connection is closed within minOpenTime, another one is
// made, until dialTimeout has passed.
func (g *Guard) refusesConnections(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), dialTimeout)
	defer cancel()
	for ctx.Err() == nil {
		c, err := g.Dial(ctx, "tcp", addr)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		_ = c.SetReadDeadline(time.Now().Add(minOpenTime)) // an error is reported by Read
		_, err = c.Read(make([]byte, 1))
		_ = c.Close() // the connection served only as a check
		var timeout net.Error
		if err == nil || errors.As(err, &timeout) && timeout.Timeout() {
			return false
		}
	}
	return false
}

// watchedBody is a response body that calls onEOF once it has been read to its end.
type watchedBody struct {
	io.ReadCloser
	once  sync.Once
	onEOF func()
}

// Read implements io.Reader. It calls onEOF at the first io.EOF.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.once.Do(b.onEOF)
	}
	return n, err
}
