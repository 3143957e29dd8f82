package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/verdict"
)

func TestAfter(t *testing.T) {
	overload := Delay{Min: 350 * time.Millisecond, Jitter: 400 * time.Millisecond}
	failure := Delay{Min: 150 * time.Millisecond}
	start := Delay{Min: 200 * time.Millisecond}
	for _, c := range []struct {
		rule    string
		verdict verdict.Verdict
		reasons []verdict.Reason
		want    Delay
	}{
		{
			"overload: long delay with jitter", verdict.NotRun,
			[]verdict.Reason{verdict.Full, verdict.Warming, verdict.NoUpstream, verdict.UpstreamShed}, overload,
		},
		{
			"other failure that did not run: short delay", verdict.NotRun,
			[]verdict.Reason{verdict.Unreachable, verdict.ConnectionRefused, verdict.Misdirected, verdict.DeadlineLapsed, verdict.CallerLeft, verdict.UpstreamFailed, verdict.Stopping}, failure,
		},
		{"refused by an upstream with free capacity: shortest delay with jitter", verdict.NotRun, []verdict.Reason{verdict.UpstreamDeclined}, Delay{Min: 20 * time.Millisecond, Jitter: 60 * time.Millisecond}},
		{"starting host: short delay", verdict.NotRun, []verdict.Reason{verdict.NotReady}, start},
		{
			"would be refused again: no delay", verdict.NotRun,
			[]verdict.Reason{verdict.UnknownRoute, verdict.HeaderTooLarge, verdict.BodyTooLarge, verdict.BodyStalled, verdict.BadRequest}, Delay{},
		},
		{
			"may have run: no delay", verdict.MayHaveRun,
			[]verdict.Reason{verdict.UpstreamFailed, verdict.AnswerTruncated, verdict.DeadlineLapsed, verdict.CallerLeft, verdict.Interrupted}, Delay{},
		},
	} {
		for _, reason := range c.reasons {
			t.Run(c.rule+"/"+string(reason), func(t *testing.T) {
				require.Equal(t, c.want, After(c.verdict, reason))
				got := After(c.verdict, reason).Draw()
				require.GreaterOrEqual(t, got, c.want.Min)
				require.LessOrEqual(t, got, c.want.Min+c.want.Jitter)
			})
		}
	}
}
