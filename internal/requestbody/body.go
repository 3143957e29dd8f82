package requestbody

import (
	"bytes"
	"errors"
	"io"
	"time"
)

const (
	// minSegment and maxSegment are the sizes of the first and of the largest segments of a
	// body, in bytes.
	minSegment = 4 << 10
	maxSegment = 64 << 10
)

// Source is where the body of a request comes from.
type Source struct {
	io.Reader
	// Length is the declared length in bytes, or -1 if it is unknown.
	Length int64
	// Limit is the maximum length in bytes.
	Limit int64
	// Interrupt makes a read in progress fail. It is called at most once, when the memory is
	// needed for other bodies; nil is not called.
	Interrupt func()
}

// Body is the body of one request. Only one goroutine may call its methods.
type Body struct {
	// Segments hold the whole body in order. They must not be changed.
	Segments [][]byte

	buffers *Buffers
	source  Source
	// The lock of the buffers guards the following fields. reserved is the memory that is
	// accounted for the body, in bytes; began is when its reading began, received the bytes
	// that were read, and receivedAt when the last of them were. evicted is set when its memory
	// is needed for other bodies.
	reserved, received int64
	began, receivedAt  time.Time
	evicted            bool
}

// Size returns the length of the body in bytes.
func (b *Body) Size() int64 {
	n := int64(0)
	for _, s := range b.Segments {
		n += int64(len(s))
	}
	return n
}

// Bytes returns the body in one piece, which is a copy if the body has several segments.
func (b *Body) Bytes() []byte {
	if len(b.Segments) == 1 {
		return b.Segments[0]
	}
	return bytes.Join(b.Segments, nil)
}

// Release ends the account of the body. Release may be called more than once, and on nil.
func (b *Body) Release() {
	if b == nil {
		return
	}
	b.buffers.remove(b)
}

// Read reads a whole body. Memory is taken as the body arrives, not by its declared length. The
// error is ErrTooLarge, ErrFull or that of the reader; a body that ends before its declared
// length is io.ErrUnexpectedEOF. Nothing is read of a body whose declared length is refused.
// The caller calls Body.Release when the body is no longer used.
func (b *Buffers) Read(s Source) (*Body, error) {
	if s.Length > s.Limit {
		return nil, ErrTooLarge
	}
	now := time.Now()
	body := &Body{buffers: b, source: s, began: now, receivedAt: now}
	if !b.begin(body) {
		return nil, ErrFull
	}
	err := body.readAll()
	if b.end(body) {
		err = ErrFull
	}
	if err != nil {
		body.Release()
		return nil, err
	}
	return body, nil
}

// readAll reads the body to its end.
func (b *Body) readAll() error {
	total := int64(0)
	for total != b.source.Length {
		segment, err := b.grow(total)
		if err != nil {
			return err
		}
		n, err := b.fill(segment, total)
		total += int64(n)
		b.Segments = append(b.Segments, segment[:n])
		switch {
		case total > b.source.Limit:
			return ErrTooLarge
		case errors.Is(err, io.EOF):
			return b.ended(total)
		case err != nil:
			return err
		}
	}
	return nil
}

// fill reads a segment of a body after total bytes. The error is that of the reader.
func (b *Body) fill(segment []byte, total int64) (n int, err error) {
	for n < len(segment) && err == nil {
		var read int
		read, err = b.source.Read(segment[n:])
		n += read
		b.buffers.received(b, total+int64(n))
	}
	return n, err
}

// ended returns the error of a body that ended after total bytes, or nil if it is whole.
func (b *Body) ended(total int64) error {
	if b.source.Length >= 0 && total < b.source.Length {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// grow returns the next segment of a body of which total bytes were read. All segments together
// have at most twice the size of what was read, and one byte more than the limit, which shows
// that the body exceeds it.
func (b *Body) grow(total int64) ([]byte, error) {
	size := min(max(total, minSegment), maxSegment, b.source.Limit+1-total)
	if b.source.Length >= 0 {
		size = min(size, b.source.Length-total)
	}
	if !b.buffers.reserve(b, total+size) {
		return nil, ErrFull
	}
	return make([]byte, size), nil
}
