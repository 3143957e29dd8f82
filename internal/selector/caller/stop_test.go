package caller

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/httpserver"
	"cairndock/internal/selector/server/abort"
	"cairndock/internal/verdict"
)

// abortedContext returns the context of a request that was aborted.
func abortedContext(t *testing.T) context.Context {
	t.Helper()
	o := httpserver.Options{HTTP: &http.Server{Handler: http.NotFoundHandler()}}
	s := abort.New(o)
	ctx, cancel := context.WithCancel(o.HTTP.BaseContext(nil))
	t.Cleanup(cancel)
	expired, cancel := context.WithCancel(t.Context())
	cancel()
	// A stop without open connections may return before it aborts anything, so it
	// is repeated.
	for ctx.Err() == nil {
		s.Stop(expired)
	}
	return ctx
}

func TestAbortError(t *testing.T) {
	aborted := abortedContext(t)
	late, cancelLate := context.WithDeadline(t.Context(), time.Now())
	defer cancelLate()
	left, cancelLeft := context.WithCancel(t.Context())
	cancelLeft()
	for _, c := range []struct {
		name    string
		ctx     context.Context
		verdict verdict.Verdict
		reason  verdict.Reason
		want    verdict.Reason
	}{
		{"not sent", aborted, verdict.NotRun, verdict.DeadlineLapsed, verdict.Stopping},
		{"waited for a slot", aborted, verdict.NotRun, verdict.Full, verdict.Stopping},
		{"waited for another host", aborted, verdict.NotRun, verdict.PeerFailed, verdict.Stopping},
		{"sent", aborted, verdict.MayHaveRun, verdict.CallerLeft, verdict.Interrupted},
		{"sent to another host", aborted, verdict.MayHaveRun, verdict.DeadlineLapsed, verdict.Interrupted},
		{"response truncated", aborted, verdict.MayHaveRun, verdict.AnswerTruncated, verdict.Interrupted},
		{"ran, response not kept", aborted, verdict.Ran, verdict.AnswerNotKept, verdict.AnswerNotKept},
		{"ran, response too long", aborted, verdict.Ran, verdict.AnswerTruncated, verdict.AnswerTruncated},
		{"bad ticket", aborted, verdict.NotRun, verdict.BadTicket, verdict.BadTicket},
		{"deadline passed before the abort", late, verdict.MayHaveRun, verdict.DeadlineLapsed, verdict.DeadlineLapsed},
		{"client disconnected before the abort", left, verdict.MayHaveRun, verdict.CallerLeft, verdict.CallerLeft},
		{"context still active", t.Context(), verdict.NotRun, verdict.Full, verdict.Full},
	} {
		t.Run(c.name, func(t *testing.T) {
			original := verdict.New(c.verdict, c.reason, "x").WithUpstream("z/up").WithRetryAfter(time.Second)
			got := verdict.From(abortError(c.ctx, original))
			require.Equal(t, c.want, got.Reason)
			require.Equal(t, c.verdict, got.Verdict, "the verdict is unchanged")
			require.Equal(t, "z/up", got.Upstream)
			require.Equal(t, time.Second, got.RetryAfter)
		})
	}
}
