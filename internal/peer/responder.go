package peer

import (
	"context"
	"sync"
)

// Responder responds to one stream that a peer opened.
type Responder struct {
	conn   *conn
	id     uint64
	ctx    context.Context
	cancel context.CancelFunc

	mu    sync.Mutex
	ready sync.Cond
	// credit is how many bytes of body the peer takes now.
	credit int64
	// sent is how many bytes of body were sent.
	sent int64
}

func newResponder(ctx context.Context, c *conn, id uint64) *Responder {
	ctx, cancel := context.WithCancel(ctx)
	r := &Responder{conn: c, id: id, ctx: ctx, cancel: cancel, credit: window}
	r.ready.L = &r.mu
	return r
}

// receive takes one frame of the peer. Write notices a cancel by the context.
func (r *Responder) receive(f frame) {
	if f.Type == frameCancel {
		r.cancel()
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.credit += f.Offset
	r.ready.Broadcast()
}

// Reply sends the stream's response, after which a body may follow.
func (r *Responder) Reply(payload []byte) error {
	return r.conn.write(&frame{Type: frameReply, ID: r.id, Data: payload})
}

// Send encodes a message, sends it as the response and ends the stream. The
// error is ErrNotSent if the message is larger than a frame; the peer then gets
// no response.
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

// Write sends a part of the body once the peer's window has room for it. It
// fails when the stream's context ends.
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

// reserve waits for credit for a part of the body and returns its offset.
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

// End ends the stream and marks its body as whole.
func (r *Responder) End() error {
	r.mu.Lock()
	total := r.sent
	r.mu.Unlock()
	return r.conn.write(&frame{Type: frameEnd, ID: r.id, Offset: total})
}

// Fail ends the stream without a response or with an incomplete body. The
// peer's Open or Read returns an error.
func (r *Responder) Fail() error {
	return r.conn.write(&frame{Type: frameFail, ID: r.id})
}
