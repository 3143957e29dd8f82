package tickets

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"cairndock/internal/selector/call"
	"cairndock/internal/selector/entry/admission"
	"cairndock/internal/selector/ticket"
	"cairndock/internal/verdict"
)

// maxResponse bounds the response to a request with a ticket, in bytes.
const maxResponse = 4 << 20

// use runs a ticket's request, or gives the outcome of its first use.
func (i *Issuer) use(ctx context.Context, store *ticket.Store, t ticket.Ticket, req *call.Request) (*call.Response, error) {
	digest := ticket.DigestOf(req.Service, req.Method, req.Target, req.Body)
	i.mu.Lock()
	rec, first, err := store.Begin(t, digest, time.Now())
	i.mu.Unlock()
	if err != nil {
		return nil, ticketError(err)
	}
	if !first {
		return keptResponse(rec)
	}
	return i.run(ctx, store, t, req)
}

// ticketError gives the verdict on a ticket that its store refuses.
func ticketError(err error) error {
	switch {
	case errors.Is(err, ticket.ErrOtherRequest):
		return verdict.New(verdict.NotRun, verdict.TicketConflict, "%v", err)
	case errors.Is(err, ticket.ErrForged):
		return verdict.New(verdict.NotRun, verdict.BadTicket, "%s: %v", call.HeaderTicket, err)
	default:
		// Expired or closed: an earlier use may have run and be forgotten.
		return verdict.New(verdict.MayHaveRun, verdict.TicketUnknown, "%v", err)
	}
}

// keptResponse gives the outcome of a request that was dispatched before.
func keptResponse(rec ticket.Record) (*call.Response, error) {
	o := rec.Outcome
	switch {
	case rec.Phase == ticket.Running:
		return nil, verdict.New(verdict.MayHaveRun, verdict.TicketRunning, "the request is running").WithRetryAfter(admission.RetryAfter)
	case rec.Phase == ticket.InDoubt:
		return nil, verdict.New(verdict.MayHaveRun, verdict.TicketUnknown, "the request's outcome is not known")
	case o.Partial:
		return nil, verdict.New(verdict.Ran, verdict.AnswerNotKept, "the response was too large to keep").WithUpstream(o.Upstream)
	}
	return &call.Response{
		Status: o.Status, Header: o.Header, Length: int64(len(o.Body)), Upstream: o.Upstream,
		Body: io.NopCloser(bytes.NewReader(o.Body)), Verdict: verdict.Ran,
	}, nil
}

// result is how a ticket's request ended.
type result struct {
	resp *call.Response
	err  error
}

// run dispatches a ticket's request detached from its client, up to the
// service's max_timeout: a client that leaves, or whose deadline lapses, can ask
// for the outcome later.
func (i *Issuer) run(ctx context.Context, store *ticket.Store, t ticket.Ticket, req *call.Request) (*call.Response, error) {
	done := make(chan result, 1)
	run := *req
	if svc, ok := i.View().Service(req.Service); ok {
		run.Deadline = time.Now().Add(time.Duration(svc.MaxTimeout))
	}
	i.running.Add(1)
	go func() {
		defer i.running.Done()
		runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), run.Deadline)
		defer cancel()
		resp, err := i.Dispatch(runCtx, &run)
		done <- i.settle(store, t, resp, err)
	}()
	select {
	case r := <-done:
		return r.resp, r.err
	case <-ctx.Done():
		return nil, verdict.New(verdict.MayHaveRun, verdict.DeadlineLapsed, "the request is still running")
	}
}

// settle keeps the outcome of a ticket's request, whole or not at all.
func (i *Issuer) settle(store *ticket.Store, t ticket.Ticket, resp *call.Response, err error) result {
	var body []byte
	if err == nil {
		body, err = readWhole(resp)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if err != nil {
		e := verdict.From(err)
		store.Abandon(t, e.Verdict == verdict.NotRun)
		return result{err: e}
	}
	store.Finish(t, ticket.Outcome{Status: resp.Status, Header: resp.Header, Body: body, Upstream: resp.Upstream})
	out := *resp
	out.Body, out.Length = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	return result{resp: &out}
}

// readWhole reads the body of a response, which must be kept whole.
func readWhole(resp *call.Response) ([]byte, error) {
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse+1))
	if err != nil {
		return nil, verdict.New(verdict.MayHaveRun, verdict.AnswerTruncated, "the response broke off: %v", err).WithUpstream(resp.Upstream)
	}
	if len(body) > maxResponse {
		return nil, verdict.New(verdict.Ran, verdict.AnswerTruncated, "the response is above %d bytes", maxResponse).WithUpstream(resp.Upstream)
	}
	return body, nil
}
