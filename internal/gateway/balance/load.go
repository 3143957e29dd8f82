package balance

import "time"

// How long an upstream's report of its load counts, its weight falling evenly to zero:
// reportLasts times the time from one report to the next, within the two bounds. A host
// that hears of an upstream many times a second has no use for an old report; one that
// is one of many, and does so once in seconds, took a full queue for idle between two,
// and so did all others. With 33 hosts in a zone callers got 0.878 of the credit that
// responses in time earn where reports counted for 1 s, and 0.895 so; with 3 hosts
// 0.912 and 0.911 (TestReportsCountLongerWhereTheyComeSeldom). Five intervals rather than
// two and a half by plays of days (docs/design/shifted-work.md).
const (
	reportLasts    = 5.0
	leastReportTTL = time.Second
	mostReportTTL  = 4 * time.Second
	// intervalWeight is the weight of the last interval in the average.
	intervalWeight = 0.25
)

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
	// interval is the time from one report to the next, averaged; zero until there are
	// two.
	interval time.Duration
}

// observe records an upstream's report of its running and waiting requests.
func (e *loadEstimate) observe(requests int, now time.Time) {
	if !e.reportedAt.IsZero() {
		e.noteInterval(now.Sub(e.reportedAt))
	}
	e.reported, e.outstandingAtReport, e.reportedAt = requests, e.outstanding, now
}

func (e *loadEstimate) noteInterval(d time.Duration) {
	d = min(d, mostReportTTL) // a calm hour is no reason to believe old reports for long
	if e.interval == 0 {
		e.interval = d
	}
	e.interval += time.Duration(intervalWeight * float64(d-e.interval))
}

// reportTTL is how long the last report counts, if that is lasts times the interval.
func (e *loadEstimate) reportTTL(lasts float64) time.Duration {
	return max(leastReportTTL, min(time.Duration(lasts*float64(e.interval)), mostReportTTL))
}

// inCapacities returns the estimated load divided by the upstream's capacity,
// the number of requests that it works on at once.
func (e *loadEstimate) inCapacities(now time.Time, capacity int, lasts float64) float64 {
	requests := float64(e.outstanding)
	age, ttl := now.Sub(e.reportedAt), e.reportTTL(lasts)
	if !e.reportedAt.IsZero() && age < ttl {
		others := max(0, e.reported-e.outstandingAtReport)
		requests += float64(others) * (1 - float64(age)/float64(ttl))
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
