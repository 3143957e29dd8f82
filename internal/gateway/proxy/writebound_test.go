package proxy

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/route"
	"cairndock/internal/suspend"
)

// deadlineWriter notes until when a response may be written.
type deadlineWriter struct {
	http.ResponseWriter
	end time.Time
}

func (w *deadlineWriter) SetWriteDeadline(end time.Time) error {
	w.end = end
	return nil
}

// A host that was held up for 2.3 s got its upstreams' responses when the bound on
// writing them had passed. It closed three connections at one moment, with no
// response to requests that had run; nothing was logged, as a short response is
// written after the handler.
func TestAResponseThatComesAfterTheDeadlineMayStillBeWritten(t *testing.T) {
	for name, held := range map[string]time.Duration{"in time": 0, "late": 10 * time.Second} {
		t.Run(name, func(t *testing.T) {
			f := &inflight{proxy: &Proxy{Options: Options{SuspendWatch: suspend.NewWatch(suspend.Machine{})}}, route: &route.Route{Timeout: 1500 * time.Millisecond}, began: time.Now().Add(-held)}
			w := &deadlineWriter{ResponseWriter: httptest.NewRecorder()}
			f.setWriteDeadline(w)
			require.Greater(t, time.Until(w.end), writeGrace-time.Second)
		})
	}
}
