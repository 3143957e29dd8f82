package poison

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// exchangeUpdates lets each of the hosts send an update to each other one. The updates arrive delay
// milliseconds after now. It returns the number of reports that were sent.
func exchangeUpdates(hosts []*Table, watermarks map[[2]int]Watermarks, now, delay int) (reports int) {
	for from := range hosts {
		for to := range hosts {
			if from == to {
				continue
			}
			u := hosts[from].UpdateFor(watermarks[[2]int{from, to}], at(now), All)
			watermarks[[2]int{to, from}] = hosts[to].MergeUpdate(u, at(now+delay))
			reports += len(u.Reports)
		}
	}
	return reports
}

// When a zone is lost, the hosts suspect more requests together than each of them keeps.
func TestHostsWithMoreSuspectsThanTheyKeepStopSendingThem(t *testing.T) {
	const perHost, interval, delay = 60, 1000, 20
	var hosts []*Table
	for i := range 2 * maxSuspects / perHost {
		host, _ := newTable(fmt.Sprint(i))
		for j := range perHost {
			attempt{fmt.Sprint("run-", i, "-", j), 0, 10 + j}.record(host, fingerprintOf(fmt.Sprint(i, "-", j)))
		}
		hosts = append(hosts, host)
	}
	watermarks := map[[2]int]Watermarks{}
	now := 100
	for range 20 {
		exchangeUpdates(hosts, watermarks, now, delay)
		now += interval
	}
	require.Zero(t, exchangeUpdates(hosts, watermarks, now, delay))

	t.Run("a request that terminates upstreams is still found", func(t *testing.T) {
		guilty := fingerprintOf("guilty")
		for i := range quarantineThreshold {
			now += interval
			attempt{fmt.Sprint("killed-", i), now - 50, now}.record(hosts[i], guilty)
			for range 2 {
				now += interval
				exchangeUpdates(hosts, watermarks, now, delay)
			}
		}
		for i, host := range hosts {
			require.True(t, host.Quarantined(guilty, at(now+delay)), "host %d", i)
		}
	})
}
