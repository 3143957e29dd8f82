package peer

import (
	"context"
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

// Stream is a stream opened here: its reply and then its body. It is read
// by one goroutine.
type Stream struct {
	// Payload is the reply.
	Payload []byte

	conn    *Conn
	id      uint64
	replied chan struct{}

	mu       sync.Mutex
	ready    sync.Cond
	chunks   [][]byte
	received int64
	consumed int64
	credited int64
	ended    bool
	err      error
}

func newStream(c *Conn, id uint64) *Stream {
	s := &Stream{conn: c, id: id, replied: make(chan struct{})}
	s.ready.L = &s.mu
	return s
}

// receive takes one frame in. Bodies carry their offset, so that a part
// which is missing, doubled or out of order is never taken for the answer.
func (s *Stream) receive(f frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.ready.Broadcast()
	if s.ended || s.err != nil {
		return
	}
	switch f.Type {
	case frameReply:
		s.reply(f.Data)
	case frameBody:
		s.take(f)
	case frameEnd:
		if f.Offset != s.received {
			s.fault(eris.Wrapf(ErrBroken, "ended at %d of %d bytes", s.received, f.Offset))
			return
		}
		s.ended = true
	case frameFail:
		s.fault(ErrBroken)
	}
}

func (s *Stream) reply(payload []byte) {
	if s.Payload != nil {
		return
	}
	if payload == nil {
		payload = []byte{}
	}
	s.Payload = payload
	close(s.replied)
}

func (s *Stream) take(f frame) {
	switch {
	case f.Offset < s.received:
		return // a duplicate
	case f.Offset > s.received:
		s.fault(eris.Wrapf(ErrBroken, "bytes %d to %d are missing", s.received, f.Offset))
	case f.Offset+int64(len(f.Data))-s.consumed > window:
		s.fault(eris.Wrap(ErrFrame, "more than the window"))
	default:
		s.received += int64(len(f.Data))
		s.chunks = append(s.chunks, f.Data)
	}
}

// fault ends the stream; s.mu is held.
func (s *Stream) fault(err error) {
	if s.err != nil || s.ended {
		return
	}
	s.err = err
	if s.Payload == nil {
		close(s.replied)
	}
}

func (s *Stream) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault(err)
	s.ready.Broadcast()
}

func (s *Stream) broken() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// Read reads the body. It gives io.EOF only after the whole of it.
func (s *Stream) Read(p []byte) (int, error) {
	n, credit, err := s.read(p)
	if credit > 0 {
		// The window opens again by what was read.
		_ = s.conn.write(&frame{Type: frameCredit, ID: s.id, Offset: credit})
	}
	return n, err
}

// read also gives the credit that is due to the peer: a part of the window
// at a time, so that a short body costs no frame.
func (s *Stream) read(p []byte) (n int, credit int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.chunks) == 0 {
		if s.ended {
			return 0, 0, io.EOF
		}
		if s.err != nil {
			return 0, 0, s.err
		}
		s.ready.Wait()
	}
	n = copy(p, s.chunks[0])
	s.consumed += int64(n)
	if s.chunks[0] = s.chunks[0][n:]; len(s.chunks[0]) == 0 {
		s.chunks = s.chunks[1:]
	}
	if due := s.consumed - s.credited; due >= window/4 {
		s.credited = s.consumed
		credit = due
	}
	return n, credit, nil
}

// Close gives the stream up; the peer is told when it had not ended.
func (s *Stream) Close() error {
	s.mu.Lock()
	open := !s.ended && s.err == nil
	s.fault(ErrBroken)
	s.ready.Broadcast()
	s.mu.Unlock()
	if open {
		_ = s.conn.write(&frame{Type: frameCancel, ID: s.id})
	}
	s.forget()
	return nil
}

func (s *Stream) forget() {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	delete(s.conn.streams, s.id)
}

// Responder answers one stream that a peer opened.
type Responder struct {
	conn   *Conn
	id     uint64
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	ready  sync.Cond
	credit int64
	sent   int64
}

func (r *Responder) receive(f frame) {
	if f.Type == frameCancel {
		r.cancel()
		r.mu.Lock()
		r.ready.Broadcast()
		r.mu.Unlock()
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.credit += f.Offset
	r.ready.Broadcast()
}

// Reply sends the stream's reply.
func (r *Responder) Reply(payload []byte) error {
	return r.conn.write(&frame{Type: frameReply, ID: r.id, Data: payload})
}

// Send encodes a message, sends it as the reply and ends the stream.
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

// Write sends a part of the body once the peer's window has room for it.
func (r *Responder) Write(p []byte) (int, error) {
	stop := context.AfterFunc(r.ctx, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.ready.Broadcast()
	})
	defer stop()
	r.mu.Lock()
	for r.credit < int64(len(p)) && r.ctx.Err() == nil {
		r.ready.Wait()
	}
	if err := r.ctx.Err(); err != nil {
		r.mu.Unlock()
		return 0, err
	}
	r.credit -= int64(len(p))
	offset := r.sent
	r.sent += int64(len(p))
	r.mu.Unlock()
	if err := r.conn.write(&frame{Type: frameBody, ID: r.id, Offset: offset, Data: p}); err != nil {
		return 0, err
	}
	return len(p), nil
}

// End says that the body is whole.
func (r *Responder) End() error {
	r.mu.Lock()
	total := r.sent
	r.mu.Unlock()
	return r.conn.write(&frame{Type: frameEnd, ID: r.id, Offset: total})
}

// Fail says that the body broke off.
func (r *Responder) Fail() error {
	return r.conn.write(&frame{Type: frameFail, ID: r.id})
}
