package balance

import "time"

// An upstream's load report expires after reportTTLIntervals times the interval between
// its reports, within the two bounds below. Until then, the weight of the report falls
// linearly to zero. A host that receives many reports per second from an upstream does not
// need old ones. A host that is one of many receives a report only every few seconds. When
// reports were valid for 1 s, such hosts all took a full queue for an empty one between
// two reports. With 33 hosts in a zone, clients got 0.878 of the credit for responses in
// time with a TTL of 1 s, and 0.895 with these constants; with 3 hosts 0.912 and 0.911
// (TestReportsCountLongerWhereTheyComeSeldom). In simulations of whole days, five
// intervals did better than two and a half (docs/design/shifted-work.md).
const (
	reportTTLIntervals = 5.0
	minReportTTL       = time.Second
	maxReportTTL       = 4 * time.Second
	// intervalWeight is the weight of the latest interval in the moving average.
	intervalWeight = 0.25
)

// noLoadReport is the age of a load report that was never received.
const noLoadReport time.Duration = -1

// loadEstimate estimates an upstream's load from this host's own outstanding requests and
// the upstream's last report to a host of the zone, which includes the requests of other hosts.
type loadEstimate struct {
	// outstanding is the number of this host's outstanding requests at the upstream.
	outstanding int
	// reported is the number of requests in the upstream's last report, received at
	// reportedAt, when this host had outstandingAtReport requests outstanding.
	reported            int
	outstandingAtReport int
	reportedAt          time.Time
	// interval is the moving average of the time between reports; zero until there are two
	// reports.
	interval time.Duration
	// own is the last report that this host received itself. The one above may be of
	// another host.
	own report
	// mean is the mean of the reports; only kept with Policy.EvenLoad.
	mean meanReport
}

// observe records an upstream's report of its running and waiting requests.
func (e *loadEstimate) observe(requests int, now time.Time, withMean bool) {
	e.own = report{requests, now}
	e.record(e.own, e.outstanding, withMean)
}

// record records a report that includes the given number of this host's outstanding
// requests.
func (e *loadEstimate) record(r report, included int, withMean bool) {
	after := max(0, r.at.Sub(e.reportedAt))
	if withMean {
		e.mean.add(float64(max(0, r.requests-included)), after)
	}
	if !e.reportedAt.IsZero() {
		e.recordInterval(r.at.Sub(e.reportedAt))
	}
	e.reported, e.outstandingAtReport, e.reportedAt = r.requests, included, r.at
}

func (e *loadEstimate) recordInterval(d time.Duration) {
	d = min(d, maxReportTTL) // a long quiet period must not keep old reports valid for long
	if e.interval == 0 {
		e.interval = d
	}
	e.interval += time.Duration(intervalWeight * float64(d-e.interval))
}

// reportTTL returns how long the last report is valid: ttlIntervals times the interval,
// within the bounds.
func (e *loadEstimate) reportTTL(ttlIntervals float64) time.Duration {
	return max(minReportTTL, min(time.Duration(ttlIntervals*float64(e.interval)), maxReportTTL))
}

// inCapacities returns the estimated load divided by the upstream's capacity, the number
// of requests that it processes concurrently.
func (e *loadEstimate) inCapacities(now time.Time, capacity int, ttlIntervals float64) float64 {
	requests := float64(e.outstanding)
	age, ttl := now.Sub(e.reportedAt), e.reportTTL(ttlIntervals)
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
