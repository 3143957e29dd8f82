package standin

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cairndock/internal/pause"
	"cairndock/internal/selector/call"
)

// timeLeft returns the time until the request's deadline, or the maximum duration
// if the request has no deadline.
func timeLeft(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(call.HeaderDeadline), 10, 64)
	if err != nil {
		return math.MaxInt64
	}
	return time.Until(time.UnixMilli(ms))
}

// sleep waits for d and reports whether the request is still active afterwards. It
// returns early if the request is cancelled or its deadline passes.
func sleep(r *http.Request, d time.Duration) bool {
	if left := timeLeft(r); left < d {
		pause.For(r.Context(), left)
		return false
	}
	return d <= 0 || pause.For(r.Context(), d)
}

// respond sends N bytes in response to /bytes/N, and an echo of the request in
// response to any other path.
func (u *Upstream) respond(w http.ResponseWriter, r *http.Request, body []byte, f Faults) {
	if n, ok := strings.CutPrefix(r.URL.Path, "/bytes/"); ok {
		size, _ := strconv.ParseInt(n, 10, 64) // an invalid number means no bytes
		u.sendBytes(w, r, size, f)
		return
	}
	// Encoding strings can't fail.
	out, _ := json.Marshal(struct {
		Upstream string `json:"upstream"`
		Method   string `json:"method"`
		Path     string `json:"path"`
		Body     string `json:"body,omitempty"`
	}{u.Name, r.Method, r.URL.RequestURI(), string(body)})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	if f.Truncate {
		_, _ = w.Write(out[:len(out)/2])
		_ = http.NewResponseController(w).Flush() // the panic closes the connection anyway
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(out)
}

// sendBytes sends size bytes, or half of them with Faults.Truncate. It stops if
// the request is cancelled.
func (u *Upstream) sendBytes(w http.ResponseWriter, r *http.Request, size int64, f Faults) {
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	if f.Truncate {
		size /= 2
	}
	chunk := make([]byte, 16<<10)
	for i := range chunk {
		chunk[i] = byte('a' + i%26)
	}
	for size > 0 && r.Context().Err() == nil {
		n, err := w.Write(chunk[:min(size, int64(len(chunk)))])
		if err != nil {
			return
		}
		size -= int64(n)
	}
	if f.Truncate {
		panic(http.ErrAbortHandler)
	}
}
