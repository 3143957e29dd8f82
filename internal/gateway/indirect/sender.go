package indirect

import (
	"context"
	"errors"

	"cairndock/internal/gateway/exchange"
	"cairndock/internal/gateway/upstream"
	"cairndock/internal/peer"
	"cairndock/internal/verdict"
)

// Peers opens streams to other hosts. *fleet.Fleet implements it.
type Peers interface {
	OpenStream(ctx context.Context, address string, kind peer.Kind, payload []byte) (*peer.Stream, error)
}

// Response is a response that came through another host.
type Response struct {
	*exchange.Response
	// Run is the run of the upstream that responded.
	Run upstream.Run
}

// Send sends a request to a host and waits for the header of the response until the context
// ends. The response is canceled when the context ends. counted reports whether a host has
// counted the request for the retry budget. The error is a *verdict.Error.
func Send(ctx context.Context, peers Peers, to Host, r Request) (_ *Response, counted bool, err error) {
	payload, err := peer.Encode(r)
	if err != nil {
		return nil, r.Counted, verdict.New(verdict.NotRun, verdict.PeerFailed, "encode the request: %v", err)
	}
	stream, err := peers.OpenStream(ctx, to.Address, peer.KindForward, payload)
	if err != nil {
		return nil, r.Counted, openError(ctx, to, err)
	}
	reply, err := peer.Decode[Reply](stream.Payload)
	if err != nil {
		_ = stream.Close() // the reply is not used
		return nil, r.Counted, verdict.New(verdict.MayHaveRun, verdict.PeerFailed, "%s: %v", to.Name, err)
	}
	counted = r.Counted || reply.Counted
	if e := reply.err(); e != nil {
		_ = stream.Close() // there is no body
		return nil, counted, e
	}
	if !reply.isResponse() {
		_ = stream.Close() // the reply is not used
		return nil, counted, verdict.New(verdict.MayHaveRun, verdict.PeerFailed, "%s replied with status %d and length %d", to.Name, reply.Status, reply.Length)
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	resp := &exchange.Response{Status: reply.Status, Header: reply.Header, Length: reply.Length, Body: &body{Stream: stream, stop: stop}}
	return &Response{Response: resp, Run: reply.Run}, counted, nil
}

// openError returns the error of a request without a reply. Only a request that was not sent
// has certainly not run.
func openError(ctx context.Context, to Host, err error) error {
	switch {
	case errors.Is(err, peer.ErrNotSent):
		return verdict.New(verdict.NotRun, verdict.PeerFailed, "%s can't be reached: %v", to.Name, err)
	case errors.Is(ctx.Err(), context.Canceled):
		return verdict.New(verdict.MayHaveRun, verdict.CallerLeft, "client left before %s replied", to.Name)
	case ctx.Err() != nil:
		return verdict.New(verdict.MayHaveRun, verdict.DeadlineLapsed, "%s did not reply before the deadline", to.Name)
	default:
		return verdict.New(verdict.MayHaveRun, verdict.PeerFailed, "lost %s: %v", to.Name, err)
	}
}

// body is the body of a response from another host.
type body struct {
	*peer.Stream
	stop func() bool
}

// Close ends the stream. If the body was not read completely, the other host cancels the
// request.
func (b *body) Close() error {
	b.stop()
	return b.Stream.Close()
}
