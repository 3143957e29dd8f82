package caller

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"cairndock/internal/selector/call"
	"cairndock/internal/verdict"
)

// copyBuffer is the buffer for copying a response's body, in bytes: the size
// that io.Copy uses.
const copyBuffer = 32 << 10

// problem is the body of an error response of this host (RFC 9457).
type problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Verdict string `json:"verdict"`
}

// writeProblem writes an error response: the verdict in its header and the
// reason in its body.
func writeProblem(w http.ResponseWriter, e *verdict.Error, status int) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(verdict.Header, e.Verdict.String())
	if e.Upstream != "" {
		h.Set(call.HeaderUpstream, e.Upstream)
	}
	switch {
	case e.Reason == verdict.Stopping:
		h.Set("Retry-After", "0") // another host serves the request at once
	case e.RetryAfter > 0:
		h.Set("Retry-After", retryAfter(e.RetryAfter))
	}
	w.WriteHeader(status)
	// An error means that the client has left.
	_ = json.NewEncoder(w).Encode(problem{
		Type: "urn:cairndock:" + string(e.Reason), Title: string(e.Reason),
		Status: status, Detail: e.Detail, Verdict: e.Verdict.String(),
	})
}

// writeResponse writes an upstream's response. If its body breaks off, the
// client's connection is closed, so that the response can't look complete.
func (h *handler) writeResponse(w *echo.Response, resp *call.Response) {
	for name, values := range resp.Header {
		if !strings.HasPrefix(name, reservedPrefix) {
			w.Header()[name] = values
		}
	}
	w.Header().Set(call.HeaderUpstream, resp.Upstream)
	w.WriteHeader(resp.Status)
	if err := copyBody(w, resp); err != nil {
		h.metrics.Count("cairndock_answers_broken_total")
		panic(http.ErrAbortHandler)
	}
}

// buffers are the copy buffers, used again from response to response.
var buffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// copyBody copies a body. One of unknown length may be a stream, and is flushed
// after each part.
func copyBody(w *echo.Response, resp *call.Response) error {
	pooled := buffers.Get().(*[copyBuffer]byte)
	defer buffers.Put(pooled)
	buf := pooled[:]
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
			if resp.Length < 0 {
				w.Flush()
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// refusalRetryAfter is when a client should return to a host that has no
// configuration yet, or that is stopping: the shortest time that whole seconds
// can say, and what the entry package sets for every other refusal.
const refusalRetryAfter = time.Second

// notReady is the error of a host that never had the newest configuration.
func notReady() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.NotReady, "host is not ready").WithRetryAfter(refusalRetryAfter)
}

// retryAfter is the value of Retry-After for a pause above 0: whole seconds, as
// RFC 9110 section 10.2.3 requires, rounded up, since a client that returns
// early would only be refused again.
//
// internal/gateway/proxy differs: its clients read fractions, so that it sets
// 150 to 750 ms by the cause, and spreads those refused for load at random.
func retryAfter(pause time.Duration) string {
	return strconv.Itoa(int(math.Ceil(pause.Seconds())))
}
