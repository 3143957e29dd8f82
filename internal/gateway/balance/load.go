package balance

import "time"

// loadReportTTL is how long an upstream's report of its load counts; its
// weight falls evenly to zero over that time. Chosen, not measured.
const loadReportTTL = time.Second

// noLoadReport is the age of a load report that never came.
const noLoadReport time.Duration = -1

// loadEstimate estimates an upstream's load from this host's own outstanding
// requests and the upstream's last report, which also counts other hosts'.
type loadEstimate struct {
	// outstanding is the number of this host's requests there.
	outstanding int
	// reported is the number of requests that the upstream last reported, at
	// reportedAt, when outstandingAtReport were this host's own.
	reported            int
	outstandingAtReport int
	reportedAt          time.Time
}

// observe records an upstream's report of its running and waiting requests.
func (e *loadEstimate) observe(requests int, now time.Time) {
	e.reported, e.outstandingAtReport, e.reportedAt = requests, e.outstanding, now
}

// inCapacities returns the estimated load divided by the upstream's capacity,
// the number of requests that it works on at once.
func (e *loadEstimate) inCapacities(now time.Time, capacity int) float64 {
	requests := float64(e.outstanding)
	if age := now.Sub(e.reportedAt); !e.reportedAt.IsZero() && age < loadReportTTL {
		others := max(0, e.reported-e.outstandingAtReport)
		requests += float64(others) * (1 - float64(age)/float64(loadReportTTL))
	}
	return requests / float64(max(1, capacity))
}

// reportAge returns the age of the last report, or noLoadReport.
func (e *loadEstimate) reportAge(now time.Time) time.Duration {
	if e.reportedAt.IsZero() {
		return noLoadReport
	}
	return now.Sub(e.reportedAt)
}
