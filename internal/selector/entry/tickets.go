package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"cairndock/internal/call"
	"cairndock/internal/peer"
	"cairndock/internal/selector/entry/peers"
	"cairndock/internal/selector/member"
	"cairndock/internal/selector/ticket"
	"cairndock/internal/verdict"
)

// MintTicket makes a ticket for one request of a service.
func (h *Host) MintTicket(service string) (ticket.Ticket, error) {
	if _, ok := h.View().Service(service); !ok {
		return ticket.Ticket{}, verdict.New(verdict.NotRun, verdict.UnknownService, "no service %q", service)
	}
	h.ticketsMu.Lock()
	defer h.ticketsMu.Unlock()
	t, err := h.tickets.Mint(time.Now())
	if err != nil {
		return t, verdict.New(verdict.NotRun, verdict.Stopping, "host is stopping").WithRetryAfter(comeBack)
	}
	return t, nil
}

// doTicketed serves a request with a ticket: here when this host minted it
// or goes on for the host that did, else there.
func (h *Host) doTicketed(ctx context.Context, req *call.Request) (*call.Answer, error) {
	t, err := ticket.Parse(req.Ticket)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.BadTicket, "%s: %v", call.HeaderTicket, err)
	}
	if store := h.storeOf(t); store != nil {
		return h.useTicket(ctx, store, t, req)
	}
	return h.askMinter(ctx, t, req, false)
}

// askMinter passes a ticket's request to its minter, or to a host of the
// minter's zone, which knows it and passes it on once.
func (h *Host) askMinter(ctx context.Context, t ticket.Ticket, req *call.Request, passed bool) (*call.Answer, error) {
	to, ok := h.peers.Issuer(t.Host, t.Incarnation, t.Zone, !passed)
	if !ok {
		return nil, verdict.New(verdict.MayHaveRun, verdict.TicketUnknown, "the ticket's host %s can't be reached", t.Host)
	}
	msg := newForward(ctx, req, "", time.Time{})
	msg.Passed = passed
	return h.exchange(ctx, to, peer.KindTicket, msg)
}

// storeOf gives the store that a ticket belongs to, if it is here.
func (h *Host) storeOf(t ticket.Ticket) *ticket.Store {
	h.ticketsMu.Lock()
	defer h.ticketsMu.Unlock()
	if t.Host == h.self.Host && t.Incarnation == h.incarnation {
		return h.tickets
	}
	return h.adopted[t.Incarnation]
}

// useTicket runs a ticket's request, or gives what became of it.
func (h *Host) useTicket(ctx context.Context, store *ticket.Store, t ticket.Ticket, req *call.Request) (*call.Answer, error) {
	digest := ticket.DigestOf(req.Service, req.Method, req.Target, req.Body)
	h.ticketsMu.Lock()
	rec, dispatch, err := store.Begin(t, digest, time.Now())
	h.ticketsMu.Unlock()
	if err != nil {
		return nil, ticketError(err)
	}
	if !dispatch {
		return keptAnswer(rec)
	}
	return h.runTicket(ctx, store, t, req)
}

func ticketError(err error) error {
	switch {
	case errors.Is(err, ticket.ErrOther):
		return verdict.New(verdict.NotRun, verdict.TicketConflict, "%v", err)
	case errors.Is(err, ticket.ErrForged):
		return verdict.New(verdict.NotRun, verdict.BadTicket, "%s: %v", call.HeaderTicket, err)
	default:
		// Expired or closed: an earlier use may have run and be forgotten.
		return verdict.New(verdict.MayHaveRun, verdict.TicketUnknown, "%v", err)
	}
}

// keptAnswer gives the outcome of a request that was dispatched before.
func keptAnswer(rec ticket.Record) (*call.Answer, error) {
	o := rec.Outcome
	switch {
	case rec.Phase == ticket.Running:
		return nil, verdict.New(verdict.MayHaveRun, verdict.TicketRunning, "the request is running").WithRetryAfter(comeBack)
	case rec.Phase == ticket.Doubtful:
		return nil, verdict.New(verdict.MayHaveRun, verdict.TicketUnknown, "the request's outcome is not known")
	case o.Partial:
		return nil, verdict.New(verdict.Ran, verdict.AnswerNotKept, "the answer was too large to keep").WithUpstream(o.Upstream)
	}
	return &call.Answer{
		Status: o.Status, Header: o.Header, Length: int64(len(o.Body)), Upstream: o.Upstream,
		Body: io.NopCloser(bytes.NewReader(o.Body)), Verdict: verdict.Ran,
	}, nil
}

type ticketResult struct {
	answer *call.Answer
	err    error
}

// runTicket dispatches a ticket's request apart from the caller: one that
// leaves, or whose deadline lapses, can ask for the outcome later.
func (h *Host) runTicket(ctx context.Context, store *ticket.Store, t ticket.Ticket, req *call.Request) (*call.Answer, error) {
	done := make(chan ticketResult, 1)
	run := *req
	if svc, ok := h.View().Service(req.Service); ok {
		run.Deadline = time.Now().Add(time.Duration(svc.MaxTimeout))
	}
	h.wait.Add(1)
	go func() {
		defer h.wait.Done()
		runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), run.Deadline)
		defer cancel()
		answer, err := h.dispatch(runCtx, &run)
		done <- h.settleTicket(store, t, answer, err)
	}()
	select {
	case r := <-done:
		return r.answer, r.err
	case <-ctx.Done():
		return nil, verdict.New(verdict.MayHaveRun, verdict.DeadlineLapsed, "the request is still running")
	}
}

// settleTicket keeps the outcome of a ticket's request, whole or not at all.
func (h *Host) settleTicket(store *ticket.Store, t ticket.Ticket, a *call.Answer, err error) ticketResult {
	var body []byte
	if err == nil {
		body, err = readWhole(a)
	}
	h.ticketsMu.Lock()
	defer h.ticketsMu.Unlock()
	if err != nil {
		e := verdict.From(err)
		store.Abandon(t, e.Verdict == verdict.NotRun)
		return ticketResult{err: e}
	}
	store.Finish(t, ticket.Outcome{Status: a.Status, Header: a.Header, Body: body, Upstream: a.Upstream})
	out := *a
	out.Body, out.Length = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	return ticketResult{answer: &out}
}

// maxTicketAnswer bounds the answer to a request with a ticket, in bytes.
const maxTicketAnswer = 4 << 20

func readWhole(a *call.Answer) ([]byte, error) {
	defer a.Body.Close()
	body, err := io.ReadAll(io.LimitReader(a.Body, maxTicketAnswer+1))
	if err != nil {
		return nil, verdict.New(verdict.MayHaveRun, verdict.AnswerTruncated, "the answer broke off: %v", err).WithUpstream(a.Upstream)
	}
	if len(body) > maxTicketAnswer {
		return nil, verdict.New(verdict.Ran, verdict.AnswerTruncated, "the answer is above %d bytes", maxTicketAnswer).WithUpstream(a.Upstream)
	}
	return body, nil
}

// serveTicket serves a ticket's request that came by another host.
func (h *Host) serveTicket(ctx context.Context, from peer.Hello, msg forwardMsg, w *peer.Responder) {
	req := msg.request()
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	t, err := ticket.Parse(req.Ticket)
	store := h.storeOf(t)
	var answer *call.Answer
	switch {
	case err != nil:
		err = verdict.New(verdict.NotRun, verdict.BadTicket, "%s: %v", call.HeaderTicket, err)
	case store == nil && !msg.Passed:
		answer, err = h.askMinter(ctx, t, req, true)
	case store == nil:
		err = verdict.New(verdict.MayHaveRun, verdict.TicketUnknown, "%s has not the ticket", h.self.Host)
	default:
		answer, err = h.useTicket(ctx, store, t, req)
	}
	h.sendAnswer(ctx, from, msg.Service, answer, err, w)
}

// handOver gives this host's tickets to another host, which goes on for it.
// Only the first host asked may get them whole: whether it took them may
// never be known.
func (h *Host) handOver(ctx context.Context) bool {
	h.ticketsMu.Lock()
	h.tickets.Seal()
	h.ticketsMu.Unlock()
	first := true
	for _, to := range h.peers.NearestContacts() {
		h.ticketsMu.Lock()
		all := []ticket.Handover{h.tickets.Handover(first)}
		for _, s := range h.adopted {
			all = append(all, s.Handover(first))
		}
		h.ticketsMu.Unlock()
		callCtx, cancel := context.WithTimeout(ctx, peers.CallTimeout)
		_, err := peer.Call[bool](callCtx, h.mesh, to.PeerAddr, peer.KindHandover, all)
		cancel()
		if err == nil {
			h.log.Info().Str("successor", to.Host).Int("tickets", len(all[0].Records)).Msg("ticket: handed over")
			return true
		}
		// What was surely never sent leaves the next host the first.
		first = first && errors.Is(err, peer.ErrNotSent)
	}
	return false
}

// serveHandover goes on for another host's tickets and tells everybody.
func (h *Host) serveHandover(stores []ticket.Handover, w *peer.Responder) {
	h.ticketsMu.Lock()
	for _, s := range stores {
		// Asked again for the same store, this host keeps what it has done.
		if h.adopted[s.Incarnation] == nil {
			h.adopted[s.Incarnation] = ticket.FromHandover(s)
			h.adoptedAt[s.Incarnation] = time.Now()
			h.handovers = append(h.handovers[:len(h.handovers):len(h.handovers)],
				member.Handover{Incarnation: s.Incarnation, Host: h.self.Host})
		}
	}
	h.ticketsMu.Unlock()
	_ = w.Send(true)
	h.turnNow()
}

// forgetAdopted drops the tickets of stopped hosts once all have expired.
func (h *Host) forgetAdopted(now time.Time) {
	h.ticketsMu.Lock()
	defer h.ticketsMu.Unlock()
	for incarnation, at := range h.adoptedAt {
		if now.Sub(at) < 2*ticket.Lifetime {
			continue
		}
		delete(h.adopted, incarnation)
		delete(h.adoptedAt, incarnation)
		h.handovers = slices.DeleteFunc(slices.Clone(h.handovers), func(o member.Handover) bool { return o.Incarnation == incarnation })
	}
}
