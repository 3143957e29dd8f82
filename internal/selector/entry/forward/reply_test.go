package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/verdict"
)

// Guards against passing on the reason Stopping of a peer. The client then took its
// own host to be stopping and left it for another host.
func TestAStoppingPeerIsNotReportedAsThisHost(t *testing.T) {
	e := reply{Verdict: verdict.NotRun, Reason: verdict.Stopping, Detail: "no slots"}.err()
	require.Equal(t, verdict.PeerStopping, e.Reason)
	require.Equal(t, verdict.NotRun, e.Verdict)
	full := reply{Verdict: verdict.NotRun, Reason: verdict.Full, RetryMillis: 1000}.err()
	require.Equal(t, verdict.Full, full.Reason)
	require.Equal(t, time.Second, full.RetryAfter)
}
