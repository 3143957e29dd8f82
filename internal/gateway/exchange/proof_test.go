package exchange

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/verdict"
)

func TestARequestMayHaveRunOnlyAfterASentByte(t *testing.T) {
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	lapsed, cancelLapsed := context.WithDeadline(t.Context(), time.Unix(1, 0))
	defer cancelLapsed()
	connect := func(ctx context.Context, err error) error { return connectError(ctx, "i-1", err) }
	unsent := func(ctx context.Context, err error) error { return responseError(ctx, "i-1", err, false) }
	sent := func(ctx context.Context, err error) error { return responseError(ctx, "i-1", err, true) }
	for _, c := range []struct {
		name    string
		err     error
		verdict verdict.Verdict
		reason  verdict.Reason
	}{
		{"connection refused", connect(t.Context(), &net.OpError{Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}), verdict.NotRun, verdict.ConnectionRefused},
		{"connection not made", connect(t.Context(), io.EOF), verdict.NotRun, verdict.Unreachable},
		{"dial timed out by itself", connect(t.Context(), os.ErrDeadlineExceeded), verdict.NotRun, verdict.Unreachable},
		{"client left before the connection", connect(canceled, io.EOF), verdict.NotRun, verdict.CallerLeft},
		{"deadline before the connection", connect(lapsed, io.EOF), verdict.NotRun, verdict.DeadlineLapsed},
		{"write failed without a byte", unsent(t.Context(), io.EOF), verdict.NotRun, verdict.UpstreamFailed},
		{"client left without a byte", unsent(canceled, io.EOF), verdict.NotRun, verdict.CallerLeft},
		{"connection closed after a byte", sent(t.Context(), io.EOF), verdict.MayHaveRun, verdict.UpstreamFailed},
		{"client left after a byte", sent(canceled, io.EOF), verdict.MayHaveRun, verdict.CallerLeft},
		{"deadline after a byte", sent(lapsed, io.EOF), verdict.MayHaveRun, verdict.DeadlineLapsed},
		{"connection's deadline after a byte", sent(t.Context(), os.ErrDeadlineExceeded), verdict.MayHaveRun, verdict.DeadlineLapsed},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := verdict.From(c.err)
			require.Equal(t, c.verdict, e.Verdict)
			require.Equal(t, c.reason, e.Reason)
			require.Equal(t, "i-1", e.Upstream)
		})
	}
}

func TestKeepAliveTimeoutIsBelowTheUpstreams(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"":                  0,
		"max=9":             0,
		"timeout=soon":      0,
		"timeout=0":         time.Millisecond,
		"max=9, timeout=5":  4500 * time.Millisecond,
		"Timeout=1,max=100": 500 * time.Millisecond,
	} {
		t.Run(header, func(t *testing.T) {
			require.Equal(t, want, keepAliveTimeout(http.Header{"Keep-Alive": {header}}))
		})
	}
}
