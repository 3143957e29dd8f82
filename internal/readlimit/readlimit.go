package readlimit

import (
	"fmt"
	"io"
)

// Error reports that a source exceeded its limit.
type Error struct {
	// Source describes the source, and Limit is its limit in bytes.
	Source string
	Limit  int64
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s exceeds the limit of %d bytes", e.Source, e.Limit)
}

// New returns a reader of r that returns an *Error after limit bytes unless r ends there.
func New(r io.Reader, limit int64, source string) io.Reader {
	return &reader{r: r, left: limit, err: &Error{source, limit}}
}

type reader struct {
	r    io.Reader
	left int64
	err  *Error
}

func (r *reader) Read(p []byte) (int, error) {
	if int64(len(p)) > r.left+1 { // one byte more shows whether the source ends
		p = p[:r.left+1]
	}
	n, err := r.r.Read(p)
	if int64(n) > r.left {
		n, r.left = int(r.left), 0
		return n, r.err
	}
	r.left -= int64(n)
	return n, err
}
