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

// ObjectHandler serves the object store.
func (p Platform) ObjectHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Method {
		case http.MethodPut:
			p.putObject(w, r)
		case http.MethodGet:
			p.getObject(w, r)
		default:
			w.WriteHeader(http.StatusMethodNotAllowed)
		}
	})
}

// objectName is the object's name in a path-style request: /bucket/name.
func objectName(r *http.Request) string {
	_, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	return name
}

func (p Platform) putObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = p.Memory.PutObject(r.Context(), objectName(r), body)
	}
	if err != nil {
		writeObjectError(w, err)
		return
	}
	w.Header().Set("ETag", `"1"`)
}

func (p Platform) getObject(w http.ResponseWriter, r *http.Request) {
	body, err := p.Memory.GetObject(r.Context(), objectName(r))
	if err != nil {
		writeObjectError(w, err)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

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
