package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/rollout"
)

// A roll-out stops the upstreams of other versions. No host of the region may be left that
// still sends requests there.
func TestAllHostsOfARegionMustConfirm(t *testing.T) {
	for _, c := range []struct {
		name string
		// silent are the hosts that do not answer, for how long, and leaving are those of
		// them that had announced that they stop. unconfirmed are hosts without a confirmation.
		silent, leaving, unconfirmed []string
		silence                      time.Duration
		want                         bool
	}{
		{"all have", nil, nil, nil, 0, true},
		{"one has not", nil, nil, []string{"west1"}, 0, false},
		{"one is silent", []string{"west2"}, nil, nil, deadTimeout, false},
		{"one has been silent for long", []string{"west2"}, nil, nil, isolationTime, true},
		{"one has stopped", []string{"west2"}, []string{"west2"}, nil, deadTimeout, true},
		{"a zone is silent, whose hosts may hear each other", []string{"west3", "west4"}, nil, nil, isolationTime, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			start := time.Now()
			var all []Host
			for i := range 5 {
				all = append(all, host(fmt.Sprint("west", i), fmt.Sprint("west-", i/3), "west"))
			}
			m := membersOf(all[0], all, start)
			now, sum := start.Add(c.silence), HostID(all[0])
			for _, h := range all[1:] {
				status := readyStatus
				status.Leaving = slices.Contains(c.leaving, h.Name)
				m.recordHeartbeat(h, status, start)
				if slices.Contains(c.silent, h.Name) {
					continue
				}
				m.recordHeartbeat(h, status, now)
				if !slices.Contains(c.unconfirmed, h.Name) {
					sum += HostID(h)
				}
			}
			require.Equal(t, c.want, m.allConfirmed(sum, now))
		})
	}
}

// A host that is counted twice must not make up for one that is missing.
func TestAConfirmationThatIsCountedTwiceDoesNotReplaceAnother(t *testing.T) {
	now := time.Now()
	all := regionHosts("west", 3)
	m := membersOf(all[0], all, now)
	require.False(t, m.allConfirmed(HostID(all[0])+2*HostID(all[1]), now))
	require.True(t, m.allConfirmed(HostID(all[0])+HostID(all[1])+HostID(all[2]), now))
}

// received records the reports of other hosts.
type received chan rollout.Report

func (r received) Receive(_ string, report rollout.Report, _ time.Time) rollout.Reply {
	r <- report
	return rollout.Reply{"s": {Order: 7, Suspend: true}}
}

func TestReportsGoToTheHostThatCollectsThem(t *testing.T) {
	registry, reports := newFakeRegistry(), make(received, 1)
	hosts := regionHosts("west", 2)
	var fleets []*Fleet
	for _, h := range hosts {
		f := startFleet(t, registry, h, nil)
		f.options.Rollouts = reports
		fleets = append(fleets, f)
	}
	report := rollout.Report{"s": {Order: 7, Confirmed: 3}}
	require.Eventually(t, func() bool {
		collecting := 0
		for _, f := range fleets {
			reply, collects, err := f.SendReport(t.Context(), report)
			if collects {
				collecting++
				continue
			}
			if err != nil || !reply["s"].Suspend {
				return false
			}
			require.Equal(t, report["s"].Confirmed, (<-reports)["s"].Confirmed)
		}
		return collecting == 1
	}, 5*time.Second, 100*time.Millisecond)
}
