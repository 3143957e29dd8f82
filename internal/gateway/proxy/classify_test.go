package proxy

import (
	"context"
	"errors"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/exchange"
	"cairndock/internal/gateway/outlier"
	"cairndock/internal/gateway/rollout"
	"cairndock/internal/verdict"
)

// refusalWithLoad returns a refusal with a load report.
func refusalWithLoad(running, waiting int) exchange.ResponseInfo {
	return exchange.ResponseInfo{NotExecuted: true, Load: exchange.LoadReport{Known: true, Running: running, Waiting: waiting}}
}

func TestClassify(t *testing.T) {
	signed := exchange.ResponseInfo{Signed: true}
	refused := exchange.ResponseInfo{NotExecuted: true}
	for _, c := range []struct {
		rule    string
		status  int
		info    exchange.ResponseInfo
		verdict verdict.Verdict
		reason  verdict.Reason
	}{
		{"a signed success is forwarded", 200, signed, 0, ""},
		{"an upstream's internal error is forwarded", 500, exchange.ResponseInfo{}, 0, ""},
		{"a status that promises nothing is forwarded", 404, exchange.ResponseInfo{}, 0, ""},
		{"a success without proof of origin is not forwarded", 204, exchange.ResponseInfo{}, verdict.MayHaveRun, verdict.UpstreamFailed},
		{"a request that the upstream refused did not run", 503, refused, verdict.NotRun, verdict.UpstreamShed},
		{"an upstream at its capacity refused for load", 503, refusalWithLoad(2, 0), verdict.NotRun, verdict.UpstreamShed},
		{"an upstream with waiting requests refused for load", 503, refusalWithLoad(1, 1), verdict.NotRun, verdict.UpstreamShed},
		{"an upstream with free capacity refused for another reason", 503, refusalWithLoad(1, 0), verdict.NotRun, verdict.UpstreamDeclined},
		{"the proof of a refusal is accepted with any status", 400, refused, verdict.NotRun, verdict.UpstreamShed},
		{"503 is no proof", 503, signed, verdict.MayHaveRun, verdict.UpstreamFailed},
		{"429 is no proof", 429, signed, verdict.MayHaveRun, verdict.UpstreamFailed},
		{"408 is no proof", 408, signed, verdict.MayHaveRun, verdict.UpstreamFailed},
		{"421 is no proof by itself", 421, signed, verdict.MayHaveRun, verdict.UpstreamFailed},
		{"a request to an address of another upstream did not run", 421, exchange.ResponseInfo{Misdirected: true}, verdict.NotRun, verdict.Misdirected},
	} {
		t.Run(c.rule, func(t *testing.T) {
			e := classify(c.status, c.info, 2)
			if c.reason == "" {
				require.Nil(t, e)
				return
			}
			require.Equal(t, c.verdict, e.Verdict)
			require.Equal(t, c.reason, e.Reason)
		})
	}
}

func TestOnlyUpstreamFaultsCountAgainstAnUpstream(t *testing.T) {
	for _, c := range []struct {
		reason  verdict.Reason
		outcome outlier.Outcome
		fault   bool
	}{
		{verdict.UpstreamFailed, outlier.Failed, true},
		{verdict.AnswerTruncated, outlier.Failed, true},
		{verdict.Unreachable, outlier.Unreachable, true},
		{verdict.ConnectionRefused, outlier.Unreachable, true},
		{verdict.Misdirected, outlier.Unreachable, false},
		{verdict.UpstreamShed, outlier.Rejected, false},
		{verdict.UpstreamDeclined, outlier.Rejected, false},
		{verdict.CallerLeft, outlier.Canceled, false},
		{verdict.DeadlineLapsed, outlier.Canceled, false},
	} {
		t.Run(string(c.reason), func(t *testing.T) {
			require.Equal(t, c.outcome, outcomeOf(c.reason))
			require.Equal(t, c.fault, isUpstreamFault(c.reason))
		})
	}
}

// An upstream that breaks off its responses counted as healthy, and one whose client reads slowly
// must not count as failing.
func TestOnlyTheUpstreamsPartInABrokenResponseCountsAgainstIt(t *testing.T) {
	for _, c := range []struct {
		err             error
		delayedByClient bool
		outcome         outlier.Outcome
	}{
		{nil, true, outlier.Succeeded},
		{errors.New("broken pipe"), false, outlier.Canceled},
		{os.ErrDeadlineExceeded, false, outlier.Canceled},
		{&bodyError{errors.New("unexpected EOF")}, true, outlier.Failed},
		{&bodyError{os.ErrDeadlineExceeded}, true, outlier.Canceled},
		{&bodyError{os.ErrDeadlineExceeded}, false, outlier.Failed},
	} {
		require.Equal(t, c.outcome, outcomeOfForward(c.err, c.delayedByClient), c.err)
	}
}

func TestATruncatedResponseMayHaveRun(t *testing.T) {
	late, cancelLate := context.WithDeadline(t.Context(), time.Now())
	defer cancelLate()
	left, cancelLeft := context.WithCancel(t.Context())
	cancelLeft()
	answered, cancelAnswered := context.WithCancelCause(t.Context())
	cancelAnswered(errSuperseded)
	for _, c := range []struct {
		name    string
		ctx     context.Context
		reason  verdict.Reason
		outcome outlier.Outcome
	}{
		{"by the upstream", t.Context(), verdict.AnswerTruncated, outlier.Failed},
		{"at the deadline", late, verdict.DeadlineLapsed, outlier.Failed},
		{"because the client left", left, verdict.CallerLeft, outlier.Canceled},
		{"because another attempt was answered", answered, verdict.Superseded, outlier.Canceled},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := truncated(c.ctx, "i-1", errors.New("unexpected EOF"))
			require.Equal(t, verdict.MayHaveRun, e.Verdict)
			require.Equal(t, c.reason, e.Reason)
			require.Equal(t, "i-1", e.Upstream)
			require.Equal(t, c.outcome, outcomeOfTruncated(e.Reason))
		})
	}
}

// A connection that ends without a whole response may be the fault of this host's network, so
// that the comparison of versions must tell it from a response that reports a failure.
func TestTheOutcomeOfAnAttemptForTheComparisonOfVersions(t *testing.T) {
	response := func(status int) *exchange.Response { return &exchange.Response{Status: status} }
	failed := func(r verdict.Reason) error { return verdict.New(verdict.MayHaveRun, r, "x") }
	for _, c := range []struct {
		name string
		resp *exchange.Response
		err  error
		want rollout.Outcome
	}{
		{"a response", response(404), nil, rollout.Answered},
		{"a response that reports a failure", response(500), nil, rollout.Failed},
		{"a response that proves nothing", response(200), failed(verdict.UpstreamFailed), rollout.Failed},
		{"a closed connection", nil, failed(verdict.UpstreamFailed), rollout.Unanswered},
		{"a lost connection", nil, failed(verdict.Unreachable), rollout.Unanswered},
		{"a truncated response", response(200), failed(verdict.AnswerTruncated), rollout.Unanswered},
		{"a deadline", nil, failed(verdict.DeadlineLapsed), rollout.Undecided},
		{"a refusal for load", response(503), failed(verdict.UpstreamShed), rollout.Undecided},
	} {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, rolloutOutcome(c.resp, c.err)) })
	}
}
