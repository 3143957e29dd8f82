package proxy

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/exchange"
	"cairndock/internal/httpheader"
	"cairndock/internal/verdict"
)

const (
	// prefixBytes is how much of a response is buffered before any of it is
	// forwarded, in bytes. One that breaks off within it is a failed attempt,
	// and the request may be sent again. selector/entry/dispatch has its own,
	// which forwards longer ones from their first bytes.
	prefixBytes = 32 << 10
	// writeMargin is how long after its deadline a client may still take its
	// response: what was sent in time may lie in buffers, and a host may be held
	// up for seconds while it writes.
	writeMargin = 5 * time.Second
	// copyBuffer is the size of the buffers that forward what is longer, in
	// bytes.
	copyBuffer = 16 << 10
)

// response is an upstream's response whose beginning was buffered.
type response struct {
	*exchange.Response
	// choice is that of the upstream that sent it.
	choice balance.Choice
	// prefix is the beginning of the body; Body has the rest.
	prefix []byte
}

// whole reports whether the prefix is the whole body.
func (r *response) whole() bool { return len(r.prefix) < prefixBytes }

// forward writes an upstream's response to the client, and then releases the
// upstream and its connection. One that breaks off breaks the client's
// connection, so that it can't look whole.
func (f *inflight) forward(w http.ResponseWriter, resp *response) {
	var err error
	defer func() {
		_ = resp.Body.Close() // err says whether the body was read whole
		f.proxy.release(resp.choice, outcomeOfForward(err))
	}()
	f.proxy.closeIfLeaving(w)
	f.boundWrites(w)
	resp.writeHeader(w, f.request.Method)
	err = resp.copyTo(w)
	metrics := f.proxy.Metrics
	metrics.Observe(`cairndock_request_seconds{service="`+f.service+`"}`, time.Since(f.began).Seconds())
	if err != nil {
		metrics.Count("cairndock_answers_broken_total")
		f.logFinal(resp.Status, verdict.New(verdict.MayHaveRun, verdict.AnswerTruncated, "%v", err))
		panic(http.ErrAbortHandler)
	}
	f.noteResponse(resp.Status)
	f.logFinal(resp.Status, nil)
}

// boundWrites ends the writing of a response to a client that does not take it,
// or whose connection went silent, some time after its deadline. Without it the
// write would hold the upstream and its connection until the kernel gives up. The
// time counts from now where the deadline has passed: a host that was held up has
// the response only then, and the client may still wait.
func (f *inflight) boundWrites(w http.ResponseWriter) {
	end := f.deadline()
	if now := time.Now(); now.After(end) {
		end = now
	}
	// An error means that the connection is closed, which the write reports; the
	// http.Server takes the deadline back after the response.
	_ = http.NewResponseController(w).SetWriteDeadline(end.Add(writeMargin))
}

// writeHeader writes the status and the end-to-end headers. A Connection header
// that the gateway set stays.
func (r *response) writeHeader(w http.ResponseWriter, method string) {
	h := w.Header()
	connection := h.Get("Connection")
	for name, values := range httpheader.EndToEnd(r.Header) {
		h[name] = values
	}
	if connection != "" {
		h.Set("Connection", connection)
	}
	if !strings.EqualFold(method, http.MethodHead) {
		h.Del("Content-Length")
		if r.Length >= 0 {
			h.Set("Content-Length", strconv.FormatInt(r.Length, 10))
		}
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // keeps net/http from guessing it
	}
	w.WriteHeader(r.Status)
}

var buffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// copyTo writes the body to the client.
func (r *response) copyTo(w http.ResponseWriter) error {
	if _, err := w.Write(r.prefix); err != nil || r.whole() {
		return err
	}
	buf := buffers.Get().(*[copyBuffer]byte)
	defer buffers.Put(buf)
	_, err := io.CopyBuffer(onlyWriter{w}, r.Body, buf[:])
	return err
}

// onlyWriter hides the writer's own ReadFrom, which would take a larger buffer.
type onlyWriter struct{ io.Writer }
