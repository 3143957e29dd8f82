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
	// prefixBytes is how much of a response is buffered before forwarding begins. A
	// response that breaks off within the prefix is a failed attempt, and the request may
	// be sent again. selector/entry/dispatch has its own constant and forwards longer
	// responses from their first bytes.
	prefixBytes = 32 << 10
	// writeGrace is how long after its deadline a client may still receive its response.
	// Data that was sent in time may still be in buffers, and a host may be delayed by
	// seconds while it writes.
	writeGrace = 5 * time.Second
	// copyBufferBytes is the size of the buffers for forwarding the rest of a body.
	copyBufferBytes = 16 << 10
)

// response is an upstream's response with the beginning of its body buffered.
type response struct {
	*exchange.Response
	// choice is the balancer's choice of the upstream that sent the response. It has no
	// upstream if the response came through another host.
	choice balance.Choice
	// prefix is the beginning of the body; Body has the rest.
	prefix []byte
	// copyBegan is when the forwarding of the rest of the body began, and writing how long the
	// writes took of the time since.
	copyBegan time.Time
	writing   time.Duration
}

// bufferPrefix reads the beginning of a response. If it breaks off there, it is closed.
func bufferPrefix(resp *exchange.Response) (*response, error) {
	prefix, err := io.ReadAll(io.LimitReader(resp.Body, prefixBytes))
	if err != nil {
		_ = resp.Body.Close() // the response has already failed
		return nil, err
	}
	out := &response{Response: resp, prefix: prefix}
	if out.isComplete() {
		out.Length = int64(len(prefix))
	}
	return out, nil
}

// isComplete reports whether the prefix is the whole body.
func (r *response) isComplete() bool { return len(r.prefix) < prefixBytes }

// forward writes an upstream's response to the client, and then releases the upstream and
// its connection. If the response breaks off, the client connection is closed as well, so
// that the client cannot take the response for a complete one.
func (f *inflight) forward(w http.ResponseWriter, resp *response) {
	var err error
	defer func() { f.endForward(resp, err) }()
	f.proxy.closeIfLeaving(w)
	f.setWriteDeadline(w)
	resp.writeHeader(w, f.request.Method)
	err = resp.copyTo(w)
	metrics := f.proxy.Metrics
	metrics.Observe(`cairndock_request_seconds{service="`+f.service+`"}`, time.Since(f.began).Seconds())
	if err != nil {
		metrics.Count("cairndock_answers_broken_total")
		f.logFinal(resp.Status, verdict.New(verdict.MayHaveRun, verdict.AnswerTruncated, "%v", err))
		panic(http.ErrAbortHandler)
	}
	f.recordResponse(resp.Status)
	f.proxy.payload.Record(f.route.Name, int64(f.request.BodySize())+resp.size())
	f.logFinal(resp.Status, nil)
}

// size returns the size of a body that was read, or that of its prefix if it had no length.
func (r *response) size() int64 { return max(r.Length, int64(len(r.prefix))) }

// endForward releases the upstream and its connection after its response was forwarded. err is
// nil if the response was complete. A response that the upstream broke off is evidence against it
// on all hosts; one that is only late is not, because a host that stood still has late ones too.
func (f *inflight) endForward(resp *response, err error) {
	_ = resp.Body.Close() // err already says whether the body was read completely
	if isBroken(err) && resp.choice.Upstream != nil {
		f.proxy.Detector.RecordFailure(resp.choice.Upstream.Run(), time.Now())
	}
	f.proxy.release(resp.choice, outcomeOfForward(err, f.delayedByClient(resp)))
}

// delayedByClient reports whether the body was not read to its end because of the client or of
// the host's stop: the client has left, or writing to it took most of the time.
func (f *inflight) delayedByClient(resp *response) bool {
	return f.clientCtx.Err() != nil || f.proxy.aborted.Err() != nil || resp.writing > time.Since(resp.copyBegan)/2
}

// setWriteDeadline limits how long after the deadline of the request the response may be
// written to a client that does not read it, or whose connection has gone silent. Without
// a write deadline the write would occupy the upstream and its connection until the
// kernel times out. If the deadline has already passed, the grace starts now, because a
// delayed host may have only just received the response, and the client may still be
// waiting.
func (f *inflight) setWriteDeadline(w http.ResponseWriter) {
	graceStart := f.deadline()
	if now := time.Now(); now.After(graceStart) {
		graceStart = now
	}
	// An error means that the connection is closed, which the write reports. The
	// http.Server resets the write deadline after the response.
	_ = http.NewResponseController(w).SetWriteDeadline(graceStart.Add(writeGrace))
}

// writeHeader writes the status and the end-to-end headers. A Connection header that the
// gateway set is kept.
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
		h["Content-Type"] = nil // prevents net/http from sniffing the content type
	}
	w.WriteHeader(r.Status)
}

var buffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// copyTo writes the body to the client.
func (r *response) copyTo(w io.Writer) error {
	if _, err := w.Write(r.prefix); err != nil {
		return err
	}
	return r.copyRest(w)
}

// copyRest writes the body after the prefix.
func (r *response) copyRest(w io.Writer) error {
	if r.isComplete() {
		return nil
	}
	buf := buffers.Get().(*[copyBufferBytes]byte)
	defer buffers.Put(buf)
	r.copyBegan = time.Now()
	_, err := io.CopyBuffer(bodyWriter{w, &r.writing}, bodyReader{r.Body}, buf[:])
	return err
}

// bodyWriter measures the time of writes. It also hides the ReadFrom method of the writer, which
// would allocate a larger buffer.
type bodyWriter struct {
	w    io.Writer
	took *time.Duration
}

func (w bodyWriter) Write(p []byte) (int, error) {
	began := time.Now()
	n, err := w.w.Write(p)
	*w.took += time.Since(began)
	return n, err
}

// bodyReader marks the errors of reading a body, which are not those of the client. It also hides
// the WriteTo method of the body, which would choose the size of the chunks.
type bodyReader struct{ body io.Reader }

func (r bodyReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err != nil && err != io.EOF {
		err = &bodyError{err}
	}
	return n, err
}

// bodyError is an error of reading a body.
type bodyError struct{ err error }

func (e *bodyError) Error() string { return e.err.Error() }

func (e *bodyError) Unwrap() error { return e.err }
