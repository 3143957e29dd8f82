package proxy

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"cairndock/internal/call"
	"cairndock/internal/gateway/exchange"
	"cairndock/internal/verdict"
)

const (
	// prefixBytes is how much of a response is buffered before any of it is
	// forwarded, in bytes. One that breaks off within it is a failed attempt,
	// and the request may be sent again. Chosen, not measured.
	prefixBytes = 32 << 10
	// copyBuffer is the size of the buffers that forward what is longer, in
	// bytes. Chosen, not measured.
	copyBuffer = 16 << 10
)

// response is an upstream's response whose beginning was buffered.
type response struct {
	status int
	header http.Header
	// length is the body's length in bytes, or -1 when it is not known.
	length int64
	prefix []byte
	rest   io.ReadCloser
	// failed is what ended the forwarding early.
	failed error
	// done is called when the response is closed.
	done func(error)
}

// bufferPrefix reads the beginning of a response. It closes one that breaks off.
func bufferPrefix(resp *exchange.Response) (*response, error) {
	out := &response{status: resp.Status, header: resp.Header, length: resp.Length, rest: resp.Body}
	prefix, err := io.ReadAll(io.LimitReader(resp.Body, prefixBytes))
	if err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	out.prefix = prefix
	if out.whole() {
		out.length = int64(len(prefix))
	}
	return out, nil
}

// whole reports whether the prefix is the whole body.
func (r *response) whole() bool { return len(r.prefix) < prefixBytes }

// forward writes an upstream's response to the client. One that breaks off
// breaks the client's connection, so that it can't look whole.
func (f *inflight) forward(w http.ResponseWriter, resp *response) {
	defer resp.close()
	resp.writeHeader(w, f.request.Method)
	err := resp.copyTo(w)
	metrics := f.proxy.Metrics
	metrics.Observe(`cairndock_request_seconds{service="`+f.service+`"}`, time.Since(f.began).Seconds())
	if err != nil {
		metrics.Count("cairndock_answers_broken_total")
		f.logFinal(resp.status, verdict.New(verdict.MayHaveRun, verdict.AnswerTruncated, "%v", err))
		panic(http.ErrAbortHandler)
	}
	f.logFinal(resp.status, nil)
}

// writeHeader writes the status and the end-to-end headers. A Connection header
// that the gateway set stays.
func (r *response) writeHeader(w http.ResponseWriter, method string) {
	h := w.Header()
	connection := h.Get("Connection")
	for name, values := range call.EndToEnd(r.header) {
		h[name] = values
	}
	if connection != "" {
		h.Set("Connection", connection)
	}
	if !strings.EqualFold(method, http.MethodHead) {
		r.setLength(h)
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // keeps net/http from guessing it
	}
	w.WriteHeader(r.status)
}

// setLength sets the body's length where it is known.
func (r *response) setLength(h http.Header) {
	h.Del("Content-Length")
	if r.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(r.length, 10))
	}
}

var buffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// copyTo writes the body to the client.
func (r *response) copyTo(w http.ResponseWriter) error {
	if _, r.failed = w.Write(r.prefix); r.failed != nil {
		return r.failed
	}
	if r.whole() {
		return nil
	}
	buf := buffers.Get().(*[copyBuffer]byte)
	defer buffers.Put(buf)
	_, r.failed = io.CopyBuffer(onlyWriter{w}, r.rest, buf[:])
	return r.failed
}

// onlyWriter hides the writer's own ReadFrom, which would take a larger buffer.
type onlyWriter struct{ io.Writer }

// close returns or closes the upstream's connection and reports the end.
func (r *response) close() {
	_ = r.rest.Close() // r.failed says whether the body was read whole
	r.done(r.failed)
}
