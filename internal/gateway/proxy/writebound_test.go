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

// deadlineWriter records the write deadline of a response.
type deadlineWriter struct {
	http.ResponseWriter
	end time.Time
}

func (w *deadlineWriter) SetWriteDeadline(end time.Time) error {
	w.end = end
	return nil
}

// A host that was stalled for 2.3 s received upstream responses after its write deadlines had
// passed. It closed three client connections at once, without a response to requests that had
// run. Nothing was logged, because a short response is written after the handler has returned.
func TestAResponseThatComesAfterTheDeadlineMayStillBeWritten(t *testing.T) {
	for name, delay := range map[string]time.Duration{"in time": 0, "late": 10 * time.Second} {
		t.Run(name, func(t *testing.T) {
			f := &inflight{proxy: &Proxy{Options: Options{SuspendWatch: suspend.NewWatch(suspend.Machine{})}}, route: &route.Route{Timeout: 1500 * time.Millisecond}, began: time.Now().Add(-delay)}
			w := &deadlineWriter{ResponseWriter: httptest.NewRecorder()}
			f.setWriteDeadline(w)
			require.Greater(t, time.Until(w.end), writeGrace-time.Second)
		})
	}
}
