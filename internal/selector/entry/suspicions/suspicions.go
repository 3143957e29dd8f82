// Package suspicions keeps requests that end the upstreams that run them from being sent
// on and on (poison requests, package poison).
//
// It stands before the client that sends requests to upstreams, where all of a zone's
// requests pass, forwarded ones and those of tickets included. It owns what counts as an
// upstream's end; the table of suspicions is shared with other hosts by package
// heartbeats (docs/design/poison.md).
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
	// dialTimeout bounds the connection that tells whether an upstream has ended:
	// far above a round trip within a zone.
	dialTimeout = 500 * time.Millisecond
	// settles is how long it must last, as a process that ends closes its listener and
	// its connections one by one.
	settles = 20 * time.Millisecond
	// retryAfter is when a client should return whose request is quarantined: not while
	// people have not looked at what it does.
	retryAfter = time.Minute
	// headerCredential tells who sends a request; empty where clients send none.
	headerCredential = "Authorization"
)

// Sender sends a request to an upstream.
type Sender interface {
	Send(ctx context.Context, t upstream.Target, req *call.Request, done upstream.Done) (*call.Response, error)
}

// Options are what a Guard is made of.
type Options struct {
	Sender Sender
	Table  *poison.Table
	// Dial makes connections to upstreams; nil is TCP.
	Dial upstream.DialFunc
	// Leaving reports whether an upstream takes no new work: its end is planned.
	Leaving func(upstream string) bool
	Log     zerolog.Logger
}

// Guard is a Sender that refuses quarantined requests.
type Guard struct{ Options }

// New makes a Guard.
func New(o Options) *Guard {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Guard{o}
}

// Send sends a request unless it is quarantined, and notes whether the upstream ends by
// it.
func (g *Guard) Send(ctx context.Context, t upstream.Target, req *call.Request, done upstream.Done) (*call.Response, error) {
	if !g.Table.Empty() && g.Table.Quarantined(fingerprint(req), time.Now()) {
		done(slot.Unused, 0)
		return nil, verdict.New(verdict.NotRun, verdict.Quarantined, "upstreams ended when they ran this request").WithRetryAfter(retryAfter)
	}
	began := time.Now()
	resp, err := g.Sender.Send(ctx, t, req, done)
	if err != nil {
		end := poison.Attempt{Began: began, Ended: time.Now()}
		end.Run = runThatEnded(t, end.Ended)
		g.noteFailure(ctx, t, req, end, verdict.From(err))
		return nil, err
	}
	out := *resp
	out.Body = &watchedBody{ReadCloser: resp.Body, whole: func() { g.noteResponse(req, resp.Status) }}
	return &out, nil
}

// runThatEnded names the run of an upstream that ended at a time, to the second. What an
// upstream reported of its incarnation may be of the run before: a poison request can be
// the first that a new one gets. Two hosts may give one run two names, which does no harm,
// as two attempts that ended together never count as one after the other.
func runThatEnded(t upstream.Target, at time.Time) string {
	return t.Zone + "/" + t.Name + "@" + strconv.FormatInt(at.Unix(), 10)
}

// fingerprint identifies a request by its content. Its ticket is no part of that: it
// comes again with another.
func fingerprint(req *call.Request) poison.Fingerprint {
	return poison.Content{
		Credential: req.Header.Get(headerCredential), Method: req.Method, Host: req.Service, Target: req.Target, Body: req.Body,
	}.Fingerprint()
}

// noteFailure looks whether an upstream has ended that gave no response. A request that
// is suspected already waits for that, as it must not go to the next upstream meanwhile.
func (g *Guard) noteFailure(ctx context.Context, t upstream.Target, req *call.Request, end poison.Attempt, e *verdict.Error) {
	if e.Verdict != verdict.MayHaveRun || e.Reason != verdict.UpstreamFailed || ctx.Err() != nil {
		return
	}
	f := fingerprint(req)
	look := func() {
		if g.Leaving(t.Name) || !g.refusesConnections(ctx, t.Addr) {
			return
		}
		g.Log.Warn().Str("upstream", end.Run).Str("fingerprint", f.String()).Str("target", req.Target).Msg("suspicions: an upstream ended under a request")
		g.Table.RecordTermination(f, end)
	}
	if g.Table.Suspected(f) {
		look()
		return
	}
	go look()
}

// noteResponse clears the request of suspicion: a poison request gets no response.
func (g *Guard) noteResponse(req *call.Request, status int) {
	if status < http.StatusInternalServerError && !g.Table.Empty() {
		g.Table.RecordResponse(fingerprint(req))
	}
}

// refusesConnections reports whether nothing listens at an address any more: the process
// has ended. It makes a connection, and another one if the first ends at once.
func (g *Guard) refusesConnections(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), dialTimeout)
	defer cancel()
	for ctx.Err() == nil {
		c, err := g.Dial(ctx, "tcp", addr)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		_ = c.SetReadDeadline(time.Now().Add(settles)) // Read reports an error
		_, err = c.Read(make([]byte, 1))
		_ = c.Close() // it was made only to see this
		var timeout net.Error
		if err == nil || errors.As(err, &timeout) && timeout.Timeout() {
			return false
		}
	}
	return false
}

// watchedBody tells when a body was read whole.
type watchedBody struct {
	io.ReadCloser
	once  sync.Once
	whole func()
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.once.Do(b.whole)
	}
	return n, err
}
