package standin

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"cairndock/internal/selector/store"
)

// serveObjects serves the object store. Requests are path-style: /bucket/name.
func (p Platform) serveObjects(w http.ResponseWriter, r *http.Request) {
	_, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	var body []byte
	var err error
	switch r.Method {
	case http.MethodPut:
		if body, err = io.ReadAll(r.Body); err == nil {
			err = p.Memory.PutObject(r.Context(), name, body)
		}
	case http.MethodGet:
		body, err = p.Memory.GetObject(r.Context(), name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	if err != nil {
		writeObjectError(w, err)
		return
	}
	if r.Method == http.MethodPut {
		w.Header().Set("ETag", `"1"`)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// writeObjectError writes an S3 error response.
func writeObjectError(w http.ResponseWriter, err error) {
	status, code := http.StatusInternalServerError, "InternalError"
	switch {
	case errors.Is(err, store.ErrNotFound):
		status, code = http.StatusNotFound, "NoSuchKey"
	case errors.Is(err, store.ErrThrottled):
		status, code = http.StatusServiceUnavailable, "SlowDown"
	}
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, "<Error><Code>%s</Code></Error>", code)
}
