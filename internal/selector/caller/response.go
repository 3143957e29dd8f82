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

// copyBufferSize is the size of the buffer for copying a response's body, in
// bytes. io.Copy uses the same size.
const copyBufferSize = 32 << 10

// problem is the body of an error response from this host (RFC 9457).
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
		h.Set("Retry-After", "0") // another host can serve the request at once
	case e.RetryAfter > 0:
		h.Set("Retry-After", retryAfter(e.RetryAfter))
	}
	w.WriteHeader(status)
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(problem{
		Type: "urn:cairndock:" + string(e.Reason), Title: string(e.Reason),
		Status: status, Detail: e.Detail, Verdict: e.Verdict.String(),
	})
}

// writeResponse writes an upstream's response. If copying the body fails, the
// client's connection is closed, so that a truncated response does not look
// complete.
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

// buffers is the pool of copy buffers, which are reused across responses.
var buffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// copyBody copies a response's body. A body of unknown length may be a stream,
// so it is flushed after each chunk.
func copyBody(w *echo.Response, resp *call.Response) error {
	pooled := buffers.Get().(*[copyBufferSize]byte)
	defer buffers.Put(pooled)
	buf := pooled[:]
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if _, writeErr := w.Write(buf[:n]); writeErr != nil {
				return writeErr
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

// refusalRetryAfter is the Retry-After of a host that has no configuration yet
// or that is stopping. It is the shortest time above 0 in whole seconds, and the
// value that package entry sets for every other refusal.
const refusalRetryAfter = time.Second

// notReady returns the error of a host that has never had a configuration
// confirmed to be the newest.
func notReady() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.NotReady, "host is not ready").WithRetryAfter(refusalRetryAfter)
}

// retryAfter returns the value of Retry-After for a delay above 0. RFC 9110
// section 10.2.3 requires whole seconds. The delay is rounded up because a
// client that retries too early would only be refused again.
//
// Package gateway/proxy differs because its clients accept fractions of a
// second. It sets 150 to 750 ms depending on the cause, and adds random jitter
// to refusals for load.
func retryAfter(delay time.Duration) string {
	return strconv.Itoa(int(math.Ceil(delay.Seconds())))
}
