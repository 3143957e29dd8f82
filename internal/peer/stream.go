package peer

import (
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	// window is the maximum number of bytes of a body that are sent but not yet
	// read. It limits the memory that a stream with a slow reader uses.
	window = 256 << 10
	// creditThreshold is the number of bytes that are read before the peer gets
	// credit for them, so that a short body needs no credit frame.
	creditThreshold = window / 4
)

// Stream is a stream opened by this host. It provides the response and then the
// body. One goroutine may read it while another closes it.
type Stream struct {
	// Payload is the response.
	Payload []byte

	conn *conn
	id   uint64
	// replied is closed when the response was received or the stream has
	// failed.
	replied chan struct{}

	mu    sync.Mutex
	ready sync.Cond
	// chunks are the chunks of the body that were received but not yet read.
	chunks [][]byte
	// received, consumed and credited are positions in the body up to which it
	// was received, read and credited to the peer.
	received int64
	consumed int64
	credited int64
	// ended is set when the complete body was received.
	ended bool
	err   error
}

func newStream(c *conn, id uint64) *Stream {
	s := &Stream{conn: c, id: id, replied: make(chan struct{})}
	s.ready.L = &s.mu
	return s
}

// receive processes a frame from the peer.
func (s *Stream) receive(f frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.ready.Broadcast()
	if s.ended || s.err != nil {
		return
	}
	switch f.Type {
	case frameReply:
		s.receiveReply(f.Data)
	case frameBody:
		s.receiveBody(f)
	case frameEnd:
		if f.Offset != s.received {
			s.failLocked(eris.Wrapf(errIncomplete, "body ended after %d of %d bytes", s.received, f.Offset))
			return
		}
		s.ended = true
	case frameFail:
		s.failLocked(errIncomplete)
	}
}

// receiveReply sets the response; s.mu is held. A repeated response is ignored.
func (s *Stream) receiveReply(payload []byte) {
	if s.Payload != nil {
		return
	}
	if payload == nil {
		payload = []byte{}
	}
	s.Payload = payload
	close(s.replied)
}

// receiveBody appends a chunk of the body; s.mu is held. A chunk at a lower
// offset than expected is a repeated frame and is ignored, and so is an empty one, which the
// flow-control window does not limit. A chunk at a higher
// offset shows that a frame is missing.
func (s *Stream) receiveBody(f frame) {
	switch {
	case f.Offset < s.received, f.Offset == s.received && len(f.Data) == 0:
		return
	case f.Offset > s.received:
		s.failLocked(eris.Wrapf(errIncomplete, "bytes %d to %d are missing", s.received, f.Offset))
	case f.Offset+int64(len(f.Data))-s.consumed > window:
		s.failLocked(eris.Wrap(errInvalidFrame, "body exceeds the flow-control window"))
	default:
		s.received += int64(len(f.Data))
		s.chunks = append(s.chunks, f.Data)
	}
}

// failLocked ends the stream with an error unless it has already ended; s.mu is
// held.
func (s *Stream) failLocked(err error) {
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
	s.failLocked(err)
	s.ready.Broadcast()
}

// Read reads the body. It returns io.EOF only after the complete body. Any
// other error means that the body is incomplete.
func (s *Stream) Read(p []byte) (int, error) {
	n, credit, err := s.read(p)
	if credit > 0 {
		// An error is ignored, because the connection is then broken and the
		// rest of the body ends with an error.
		_ = s.conn.write(&frame{Type: frameCredit, ID: s.id, Offset: credit})
	}
	return n, err
}

// read reads from the received chunks and also returns the credit in bytes to
// send to the peer.
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
	if due := s.consumed - s.credited; due >= creditThreshold {
		s.credited = s.consumed
		credit = due
	}
	return n, credit, nil
}

// Close ends the stream. If the body was not received completely, the peer is
// asked to stop sending it. Close always returns nil.
func (s *Stream) Close() error {
	s.mu.Lock()
	unfinished := !s.ended && s.err == nil
	s.failLocked(errIncomplete)
	s.ready.Broadcast()
	s.mu.Unlock()
	if unfinished {
		s.conn.cancel(s.id)
	}
	s.remove()
	return nil
}

// remove removes the stream from its connection.
func (s *Stream) remove() {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	delete(s.conn.streams, s.id)
	s.conn.stopFrequentChecks()
	s.conn.closeIfUnused()
}
