package indirect

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/verdict"
)

func TestReplyError(t *testing.T) {
	require.Nil(t, Reply{Status: 200}.err())
	for _, c := range []struct {
		name     string
		reason   verdict.Reason
		expected verdict.Reason
	}{
		{"a stopping peer is not reported as this host", verdict.Stopping, verdict.PeerStopping},
		{"a peer that aborts is not reported as this host", verdict.Interrupted, verdict.PeerStopping},
		{"a route that the peer lacks exists", verdict.UnknownRoute, verdict.PeerFailed},
		{"an account that the peer lacks exists", verdict.UnknownKey, verdict.PeerFailed},
		{"other reasons are passed on", verdict.Full, verdict.Full},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := verdict.New(verdict.NotRun, c.reason, "detail").WithRetryAfter(time.Second)
			got := NewErrorReply(e, false).err()
			require.Equal(t, c.expected, got.Reason)
			require.Equal(t, verdict.NotRun, got.Verdict)
			require.Equal(t, time.Second, got.RetryAfter)
		})
	}
}
