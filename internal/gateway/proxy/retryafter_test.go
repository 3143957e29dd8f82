package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/verdict"
)

func TestRetryAfter(t *testing.T) {
	overload := pauseRange{least: 350 * time.Millisecond, jitter: 400 * time.Millisecond}
	failure := pauseRange{least: 150 * time.Millisecond}
	start := pauseRange{least: 200 * time.Millisecond}
	for _, c := range []struct {
		rule    string
		verdict verdict.Verdict
		reasons []verdict.Reason
		want    pauseRange
	}{
		{
			"overload: later, and not together", verdict.NotRun,
			[]verdict.Reason{verdict.Full, verdict.Warming, verdict.NoUpstream, verdict.UpstreamShed}, overload,
		},
		{
			"a failure that did not run: soon", verdict.NotRun,
			[]verdict.Reason{verdict.Unreachable, verdict.Misdirected, verdict.DeadlineLapsed, verdict.CallerLeft, verdict.UpstreamFailed, verdict.Stopping}, failure,
		},
		{"a host that starts", verdict.NotRun, []verdict.Reason{verdict.NotReady}, start},
		{
			"what would be refused again: never", verdict.NotRun,
			[]verdict.Reason{verdict.UnknownRoute, verdict.HeaderTooLarge, verdict.BodyTooLarge, verdict.BodyStalled, verdict.BadRequest}, pauseRange{},
		},
		{
			"what may have run: never", verdict.MayHaveRun,
			[]verdict.Reason{verdict.UpstreamFailed, verdict.AnswerTruncated, verdict.DeadlineLapsed, verdict.CallerLeft, verdict.Interrupted}, pauseRange{},
		},
	} {
		for _, reason := range c.reasons {
			t.Run(c.rule+"/"+string(reason), func(t *testing.T) {
				require.Equal(t, c.want, retryAfter(c.verdict, reason))
				got := retryAfter(c.verdict, reason).draw()
				require.GreaterOrEqual(t, got, c.want.least)
				require.LessOrEqual(t, got, c.want.least+c.want.jitter)
			})
		}
	}
}
