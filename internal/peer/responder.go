package peer

import (
	"context"
	"sync"
	"time"
)

// Responder sends the response to a stream that a peer opened.
type Responder struct {
	conn   *conn
	id     uint64
	ctx    context.Context
	cancel context.CancelFunc
	// deadline is that of the opener; zero if it is not known.
	deadline time.Time

	mu    sync.Mutex
	ready sync.Cond
	// credit is the number of body bytes that the peer currently accepts.
	credit int64
	// sent is the number of body bytes that were sent.
	sent int64
}

func newResponder(ctx context.Context, c *conn, id uint64) *Responder {
	ctx, cancel := context.WithCancel(ctx)
	r := &Responder{conn: c, id: id, ctx: ctx, cancel: cancel, credit: window}
	r.ready.L = &r.mu
	return r
}

// Deadline returns when the opener gives the stream up. It may be too early by the time for
// which a frame is in transit, and is never too late. ok is false if the deadline is not
// known, because the opener has none or is a host of an older version.
func (r *Responder) Deadline() (_ time.Time, ok bool) { return r.deadline, !r.deadline.IsZero() }

// receive processes a cancel or credit frame from the peer. A cancel ends the
// context, which Write observes.
func (r *Responder) receive(f frame) {
	if f.Type == frameCancel {
		r.cancel()
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.credit = min(r.credit+min(f.Offset, window), window)
	r.ready.Broadcast()
}

// Reply sends the response of the stream. A body may follow.
func (r *Responder) Reply(payload []byte) error {
	return r.conn.write(&frame{Type: frameReply, ID: r.id, Data: payload})
}

// Send encodes a message, sends it as the response and ends the stream. The
// error is ErrNotSent if the message exceeds the maximum frame size; the peer
// then gets no response.
func (r *Responder) Send(v any) error {
	payload, err := Encode(v)
	if err != nil {
		return err
	}
	if err := r.Reply(payload); err != nil {
		return err
	}
	return r.End()
}

// Write sends a chunk of the body as soon as the flow-control window of the
// peer permits it. It fails when the context of the stream ends.
func (r *Responder) Write(p []byte) (int, error) {
	stop := context.AfterFunc(r.ctx, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.ready.Broadcast()
	})
	defer stop()
	offset, err := r.reserve(int64(len(p)))
	if err != nil {
		return 0, err
	}
	if err := r.conn.write(&frame{Type: frameBody, ID: r.id, Offset: offset, Data: p}); err != nil {
		return 0, err
	}
	return len(p), nil
}

// reserve waits for enough credit for a chunk of the body and returns the
// offset of the chunk.
func (r *Responder) reserve(size int64) (offset int64, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.credit < size && r.ctx.Err() == nil {
		r.ready.Wait()
	}
	if err := r.ctx.Err(); err != nil {
		return 0, err
	}
	r.credit -= size
	offset = r.sent
	r.sent += size
	return offset, nil
}

// End ends the stream and marks its body as complete.
func (r *Responder) End() error {
	r.mu.Lock()
	total := r.sent
	r.mu.Unlock()
	return r.conn.write(&frame{Type: frameEnd, ID: r.id, Offset: total})
}

// Fail ends the stream without a response or with an incomplete body. Open or
// Read at the peer returns an error.
func (r *Responder) Fail() error {
	return r.conn.write(&frame{Type: frameFail, ID: r.id})
}
