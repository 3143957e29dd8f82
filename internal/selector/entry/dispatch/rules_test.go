package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/admission"
	"cairndock/internal/verdict"
)

// TestMayTry checks that sends, offers and the retry budget each limit the tries.
func TestMayTry(t *testing.T) {
	require.True(t, mayTry(maxTries-1, maxOffers-1, false))
	require.False(t, mayTry(maxTries, 0, false))
	require.False(t, mayTry(0, maxOffers, false))
	require.False(t, mayTry(0, 0, true))
}

// TestMayRetry checks that a request that may have run is repeated only if the
// service allows it, and never with a ticket.
func TestMayRetry(t *testing.T) {
	cases := []struct {
		verdict              verdict.Verdict
		repeatable, ticketed bool
		want                 bool
	}{
		{verdict.NotRun, false, false, true},
		{verdict.NotRun, false, true, true},
		{verdict.MayHaveRun, true, false, true},
		{verdict.MayHaveRun, false, false, false},
		{verdict.MayHaveRun, true, true, false},
		{verdict.Ran, false, false, false},
	}
	for _, tc := range cases {
		require.Equal(t, tc.want, mayRetry(tc.verdict, tc.repeatable, tc.ticketed), "%+v", tc)
	}
}

// TestReasons checks which reasons slow a ramp and which allow a request to join
// the queue of another zone.
func TestReasons(t *testing.T) {
	cases := []struct {
		reason           verdict.Reason
		slows, elsewhere bool
	}{
		{verdict.Full, true, true},
		{verdict.UpstreamShed, true, false},
		{verdict.Capped, false, true},
		{verdict.UpstreamFailed, false, false},
		{verdict.NoUpstream, false, false},
		{verdict.Stopping, false, false},
		{verdict.PeerStopping, false, true},
	}
	for _, tc := range cases {
		require.Equal(t, tc.slows, slowsRamp(tc.reason), tc.reason)
		require.Equal(t, tc.elsewhere, mayQueueElsewhere(tc.reason), tc.reason)
	}
}

// TestQueueDeadline checks that a request may wait for a fraction of the time
// left, and not at all after its deadline.
func TestQueueDeadline(t *testing.T) {
	now := time.Now()
	require.Equal(t, now.Add(time.Second), queueDeadline(now, now.Add(4*time.Second)))
	require.False(t, queueDeadline(now, now.Add(-time.Second)).After(now))
}

// TestHedge checks that only lookups are hedged, after a multiple of the usual
// latency.
func TestHedge(t *testing.T) {
	require.True(t, mayHedge(config.Interactive, true, false))
	require.False(t, mayHedge(config.Bulk, true, false))
	require.False(t, mayHedge(config.Interactive, false, false))
	require.False(t, mayHedge(config.Interactive, true, true))
	require.Equal(t, minHedgeDelay, hedgeDelay(time.Millisecond))
	require.Equal(t, 400*time.Millisecond, hedgeDelay(100*time.Millisecond))
}

// TestFinalVerdict checks that a request is in doubt if one of its tries is, and
// that only a request that did not run gets a RetryAfter.
func TestFinalVerdict(t *testing.T) {
	full := verdict.New(verdict.NotRun, verdict.Full, "full")
	later := full.WithRetryAfter(time.Minute)
	lost := verdict.New(verdict.MayHaveRun, verdict.PeerFailed, "lost")
	cases := []struct {
		name            string
		last            *verdict.Error
		inDoubt, capped bool
		verdict         verdict.Verdict
		reason          verdict.Reason
		retry           time.Duration
	}{
		{"no try", nil, false, false, verdict.NotRun, verdict.NoUpstream, admission.RetryAfter},
		{"no try because all rules are at their caps", nil, false, true, verdict.NotRun, verdict.Capped, admission.RetryAfter},
		{"full", full, false, false, verdict.NotRun, verdict.Full, admission.RetryAfter},
		{"full, with its own RetryAfter", later, false, false, verdict.NotRun, verdict.Full, time.Minute},
		{"full, after a try in doubt", full, true, false, verdict.MayHaveRun, verdict.Full, 0},
		{"lost", lost, true, false, verdict.MayHaveRun, verdict.PeerFailed, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			e := finalVerdict(tc.last, tc.inDoubt, tc.capped)
			require.Equal(t, tc.verdict.String(), e.Verdict.String())
			require.Equal(t, tc.reason, e.Reason)
			require.Equal(t, tc.retry, e.RetryAfter)
		})
	}
	require.Zero(t, full.RetryAfter, "the try's own verdict is not changed")
}
