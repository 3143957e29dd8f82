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

// maxResponse is the maximum body size of a response to a request with a ticket, in
// bytes. Such responses are kept in memory.
const maxResponse = 4 << 20

// use runs the request of a ticket. If the ticket was used before, use returns the
// outcome of the first use.
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

// ticketError returns the verdict on a ticket that was refused by its store.
func ticketError(err error) error {
	switch {
	case errors.Is(err, ticket.ErrOtherRequest):
		return verdict.New(verdict.NotRun, verdict.TicketConflict, "%v", err)
	case errors.Is(err, ticket.ErrForged):
		return verdict.New(verdict.NotRun, verdict.BadTicket, "%s: %v", call.HeaderTicket, err)
	default:
		// The ticket has expired or its store is sealed. An earlier use of the
		// ticket may have run and its record may have been removed.
		return verdict.New(verdict.MayHaveRun, verdict.TicketUnknown, "%v", err)
	}
}

// keptResponse returns the outcome of a request that was dispatched before.
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

// result is the outcome of the request of a ticket.
type result struct {
	resp *call.Response
	err  error
}

// run dispatches the request of a ticket independently of its client, with the
// service's max_timeout as the limit. A client that disconnects, or whose deadline
// passes, can query the outcome later.
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

// settle stores the outcome of the request of a ticket. A response is stored only
// with its complete body.
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

// readWhole reads the complete body of a response. It returns an error if the body
// is truncated or larger than maxResponse.
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
