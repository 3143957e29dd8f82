package balance

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cairndock/internal/gateway/upstream"
)

// maxUnclaimed bounds the reports that are kept of runs for which the balancer has no
// state. It exceeds the upstreams of a region for which reports arrive within maxReportTTL,
// and limits the memory that reports of unknown runs use to about 1 MB.
const maxUnclaimed = 8192

// LoadReport is an upstream's report of its load that a host received.
type LoadReport struct {
	Run upstream.Run
	// Requests is the number of running and waiting requests.
	Requests int
	// Age is the time since the host that received the report from the upstream did so.
	Age time.Duration
}

// report is the number of running and waiting requests that an upstream reported at a time.
type report struct {
	requests int
	at       time.Time
}

// LoadReports returns the newest reports that this host itself received from upstreams
// within maxAge, the latest first.
func (b *Balancer) LoadReports(maxAge time.Duration, now time.Time) []LoadReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	var reports []LoadReport
	for run, s := range b.states {
		own := s.load.own
		if age := now.Sub(own.at); !own.at.IsZero() && age >= 0 && age <= maxAge {
			reports = append(reports, LoadReport{Run: run, Requests: own.requests, Age: age})
		}
	}
	slices.SortFunc(reports, func(x, y LoadReport) int {
		return cmp.Or(cmp.Compare(x.Age, y.Age), cmp.Compare(x.Run, y.Run))
	})
	return reports
}

// MergeLoadReports records reports that another host received. A report that is older than
// what is known, or whose age is negative, is ignored. So is one that has expired.
func (b *Balancer) MergeLoadReports(reports []LoadReport, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.policy.LoadReports {
		return
	}
	b.unclaimed.makeRoom(len(reports), now)
	for _, r := range reports {
		if r.Age < 0 || r.Age >= maxReportTTL || r.Requests < 0 {
			continue
		}
		received := report{r.Requests, now.Add(-r.Age)}
		if s := b.states[r.Run]; s != nil {
			s.merge(received, b.policy)
			continue
		}
		b.unclaimed.add(r.Run, received)
	}
}

// merge records a report that another host received, unless a newer one is known. Requests
// of this host that are in the report are those outstanding now that were chosen before it.
// Those that ended since brought a newer report with their response, as a rule.
func (s *state) merge(r report, p Policy) {
	if !r.at.After(s.load.reportedAt) {
		return
	}
	included := 0
	for _, at := range s.chosenAt {
		if !at.After(r.at) {
			included++
		}
	}
	s.load.record(r, included, p.EvenLoad)
}

// unclaimedReports are merged reports of runs for which the balancer has no state yet,
// because this host has not considered them for a request.
type unclaimedReports map[upstream.Run]report

// makeRoom drops the reports that expired if there may be no room for n more. It looks at
// all of them, and is therefore called once for each message.
func (u unclaimedReports) makeRoom(n int, now time.Time) {
	if len(u)+n > maxUnclaimed {
		maps.DeleteFunc(u, func(_ upstream.Run, r report) bool { return now.Sub(r.at) >= maxReportTTL })
	}
}

// add keeps a report until the run has a state, unless a newer one or maxUnclaimed others
// are kept.
func (u unclaimedReports) add(run upstream.Run, r report) {
	known, exists := u[run]
	if exists && r.at.After(known.at) || !exists && len(u) < maxUnclaimed {
		u[run] = r
	}
}

// claim removes and returns the report of a run; a report without a time if there is none.
func (u unclaimedReports) claim(run upstream.Run) report {
	r := u[run]
	delete(u, run)
	return r
}
