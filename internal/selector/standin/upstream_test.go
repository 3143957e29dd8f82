package standin

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/call"
)

// TestFaultsAndLedger guards against a ledger that does not match the requests that
// ran. The ledger must be right even if the client gets no response or only a part
// of it.
func TestFaultsAndLedger(t *testing.T) {
	const reset = 0 // used instead of a status: no response
	cases := []struct {
		name     string
		faults   Faults
		deadline time.Duration
		status   int
		complete bool
		runs     int
	}{
		{name: "no fault", deadline: time.Minute, status: http.StatusOK, complete: true, runs: 1},
		{name: "refused", faults: Faults{Shed: true}, deadline: time.Minute, status: http.StatusServiceUnavailable, complete: true},
		{name: "deadline passed before it arrived", deadline: -time.Minute, status: http.StatusServiceUnavailable, complete: true},
		{name: "connection closed before it ran", faults: Faults{DropBefore: true}, deadline: time.Minute, status: reset},
		{name: "connection closed after it ran", faults: Faults{DropAfter: true}, deadline: time.Minute, status: reset, runs: 1},
		{name: "response truncated", faults: Faults{Truncate: true}, deadline: time.Minute, status: http.StatusOK, runs: 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			u := &Upstream{Name: "u", Instance: "1", Slots: 1}
			u.SetFaults(tc.faults)
			addr, err := u.Start()
			require.NoError(t, err)
			defer func() { _ = u.Close() }()
			req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/x", nil)
			require.NoError(t, err)
			req.Header.Set(call.HeaderDeadline, strconv.FormatInt(time.Now().Add(tc.deadline).UnixMilli(), 10))
			req.Header.Set(call.HeaderTicket, "t")
			resp, err := http.DefaultClient.Do(req)
			require.Equal(t, tc.runs, u.Runs("t"))
			require.Equal(t, tc.runs, u.Ledger().Runs)
			if tc.status == reset {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			defer resp.Body.Close()
			require.Equal(t, tc.status, resp.StatusCode)
			_, err = io.ReadAll(resp.Body)
			require.Equal(t, tc.complete, err == nil)
		})
	}
}
