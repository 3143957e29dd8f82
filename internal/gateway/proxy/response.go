package proxy

import (
	"io"
	"net/http"
	"strconv"
	"sync"

	"cairndock/internal/gateway/exchange"
)

const (
	// primeBytes is the size up to which an answer is read whole before any
	// of it goes to the caller: one that breaks off can then be asked for
	// again.
	prefixBytes = 32 << 10
	// copyBuffer is the size of the buffers for longer answers, in bytes.
	copyBuffer = 16 << 10
)

// answer is an upstream's answer whose beginning was read.
type response struct {
	status int
	header http.Header
	length int64
	prefix []byte
	rest   io.ReadCloser
	failed error
	ended  func(error)
}

// prime reads the beginning of an answer.
func bufferPrefix(a *exchange.Response) (*response, error) {
	out := &response{status: a.Status, header: a.Header, length: a.Length, rest: a.Body}
	head, err := io.ReadAll(io.LimitReader(a.Body, prefixBytes))
	if err != nil {
		_ = a.Body.Close()
		return nil, err
	}
	out.prefix = head
	if len(head) < prefixBytes {
		out.length = int64(len(head))
	}
	return out, nil
}

var buffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// copyTo writes the answer's body to the caller.
func (a *response) copyTo(w http.ResponseWriter) error {
	if _, a.failed = w.Write(a.prefix); a.failed != nil {
		return a.failed
	}
	if len(a.prefix) < prefixBytes {
		return nil
	}
	buf := buffers.Get().(*[copyBuffer]byte)
	defer buffers.Put(buf)
	_, a.failed = io.CopyBuffer(onlyWriter{w}, a.rest, buf[:])
	return a.failed
}

// onlyWriter hides the writer's own way to read from a body, which would
// take a larger buffer.
type onlyWriter struct{ io.Writer }

func (a *response) close() {
	_ = a.rest.Close()
	a.ended(a.failed)
}

// setLength tells the caller the body's length where it is known.
func (a *response) setLength(h http.Header) {
	h.Del("Content-Length")
	if a.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
}
