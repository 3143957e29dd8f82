package report_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/soak/report"
)

func TestAPageShowsWhatHappened(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := report.New("soak <seed 7>")
		for i := range 5 {
			began := time.Now()
			r.Request(began, 20*time.Millisecond, report.Served)
			r.Alive(5, 9-i)
			time.Sleep(time.Second)
		}
		r.Request(time.Now(), 0, report.Refused)
		began := time.Now()
		time.Sleep(1500 * time.Millisecond)
		r.Fault(began, "host-1 paused")
		r.Fault(began.Add(-2*time.Second), "store silent")
		r.Request(time.Now(), 0, report.Failed)

		require.Equal(t, []report.Fault{
			{At: 3 * time.Second, For: 3500 * time.Millisecond, What: "store silent"},
			{At: 5 * time.Second, For: 1500 * time.Millisecond, What: "host-1 paused"},
		}, r.Faults())
		var page strings.Builder
		require.NoError(t, r.Write(&page))
		text := page.String()
		require.Contains(t, text, "soak &lt;seed 7&gt;")
		require.Contains(t, text, "5 requests served, 1 refused, 1 failed")
		require.Equal(t, 3, strings.Count(text, "<svg"))
		require.Contains(t, text, "<td>5.0</td><td>1.5 s</td><td>host-1 paused</td>")
		require.NotContains(t, text, "<?xml")
	})
}

func TestAnEmptyRunHasAPage(t *testing.T) {
	var page strings.Builder
	require.NoError(t, report.New("nothing").Write(&page))
}
