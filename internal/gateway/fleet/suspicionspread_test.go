package fleet

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/poison"
)

// suspectingHosts are the hosts of two large regions with their suspicions, in virtual time.
type suspectingHosts struct {
	hosts map[string]hostWithSuspicions
	names []string
	// reports is the number of reports that were sent.
	reports int
}

func newSuspectingHosts() *suspectingHosts {
	s := &suspectingHosts{hosts: map[string]hostWithSuspicions{}}
	var all []Host
	for _, region := range []string{"west", "east"} {
		for _, h := range zonesOf(3, 10) {
			h.Name, h.Zone, h.Region = strings.Replace(h.Name, "west", region, 1), strings.Replace(h.Zone, "west", region, 1), region
			all = append(all, h)
		}
	}
	for _, self := range all {
		o := &observer{}
		table := poison.NewTable(self.Name, time.Now(), o)
		f := New(Options{Self: self, Regions: []string{"west", "east"}, Registry: newFakeRegistry(), Report: noopReporter{}, Status: func() Status { return readyStatus }, Suspicions: table})
		f.members = membersOf(self, all, time.Now())
		o.fleet = f
		s.hosts[self.Name], s.names = hostWithSuspicions{f, table}, append(s.names, self.Name)
	}
	return s
}

// runFor lets the hosts exchange heartbeats for a time.
func (s *suspectingHosts) runFor(d time.Duration) {
	for range d / heartbeatInterval {
		for _, name := range s.names {
			from := s.hosts[name]
			for _, p := range from.members.heartbeatPeers(time.Now()) {
				s.exchange(from.Fleet, s.hosts[p.host.Name].Fleet)
			}
			time.Sleep(heartbeatInterval / time.Duration(len(s.names)))
		}
	}
}

func (s *suspectingHosts) exchange(from, to *Fleet) {
	request := from.withSuspicions(heartbeat{Host: from.options.Self, Status: readyStatus}, to.options.Self.Name)
	time.Sleep(peerTransit)
	to.recordHeartbeat(request)
	response := to.withSuspicions(heartbeat{Host: to.options.Self, Status: readyStatus}, from.options.Self.Name)
	from.recordHeartbeat(response)
	s.reports += len(request.Suspicions.Reports) + len(response.Suspicions.Reports)
}

// loseUpstreams makes each host see upstreams terminate under requests of its own.
func (s *suspectingHosts) loseUpstreams(requests int) {
	for _, name := range s.names {
		for i := range requests {
			s.hosts[name].recordTermination(poison.Content{Target: fmt.Sprint(name, i)}.Fingerprint(), fmt.Sprint("run-", i))
		}
	}
}

func TestTheLossOfAZoneOfUpstreamsIsNotReportedByAllHostsToAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSuspectingHosts()
		const requests = 5
		s.loseUpstreams(requests)
		s.runFor(5 * time.Second)
		lost := requests * len(s.names)
		require.LessOrEqual(t, s.reports/len(s.names), lost*firstHostCount, "each suspect is sent by few hosts")
		s.reports = 0
		s.runFor(2 * time.Second)
		require.Zero(t, s.reports, "the hosts still send reports")
	})
}

func TestARequestThatTerminatesUpstreamsOfSeveralRegionsIsKnownToAllHosts(t *testing.T) {
	for _, lost := range []int{0, 5} {
		synctest.Test(t, func(t *testing.T) {
			s := newSuspectingHosts()
			s.loseUpstreams(lost)
			s.runFor(5 * time.Second)
			guilty := poison.Content{Target: "guilty"}.Fingerprint()
			for i, name := range []string{"west-0-9", "east-2-10", "west-1-12"} {
				s.hosts[name].recordTermination(guilty, fmt.Sprint("killed-", i))
				s.runFor(4 * heartbeatInterval)
			}
			for _, name := range s.names {
				require.True(t, s.hosts[name].table.Quarantined(guilty, time.Now()), "%s, %d lost before", name, lost)
			}
			s.hosts["east-0-9"].table.Release(guilty)
			s.runFor(4 * heartbeatInterval)
			for _, name := range s.names {
				require.False(t, s.hosts[name].table.Quarantined(guilty, time.Now()), "%s, %d lost before", name, lost)
			}
		})
	}
}
