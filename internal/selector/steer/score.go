package steer

import (
	"time"

	"cairndock/internal/selector/config"
)

const (
	// reportTTL is the age at which another zone's report of its slots is no
	// longer used.
	reportTTL = 3 * time.Second
	// refusalTTL is how long a zone is treated as full after it refused a request
	// because it had no free slot.
	refusalTTL = 200 * time.Millisecond
	// neutralUtilization is assumed for a zone without a recent report. It is one
	// half, so that a late or missing report neither attracts nor repels requests.
	neutralUtilization = 0.5
	// queueLatencyFactor estimates the time in the queue of a full zone as a
	// multiple of the service's latency.
	queueLatencyFactor = 4
	// headroomRTTDivisor reduces the round-trip time for services that prefer
	// headroom to latency.
	headroomRTTDivisor = 4
	// headroomLoadFactor increases the cost of utilization for services that
	// prefer headroom to latency.
	headroomLoadFactor = 4
	// frozenPenaltySeconds is added to the expected time of other zones while the
	// configuration may be out of date. It equals the round trip to another
	// region, so that the host's own zone is preferred.
	frozenPenaltySeconds = float64(otherRegionRTT) / float64(time.Second)
)

// expectedTime returns the score of a zone for a request, in seconds; lower is
// better. rtt is the round-trip time to the zone and latency is the service's
// latency at an upstream, both in seconds. utilization is the fraction of the
// zone's slots that is in use, 1 or more if the zone is full. The load term grows
// slowly at first, so that requests move to another zone only when the zone is
// nearly full. With a preference for headroom they move earlier.
func expectedTime(prefer config.Prefer, rtt, utilization, latency float64) float64 {
	distance, load := rtt, utilization*utilization*utilization*latency
	if prefer == config.PreferHeadroom {
		distance /= headroomRTTDivisor
		load = utilization * utilization * headroomLoadFactor * latency
	}
	expected := distance + load
	if utilization >= 1 {
		expected += queueLatencyFactor * latency
	}
	return expected
}

// reportedUtilization returns the fraction of a zone's slots that is in use
// according to its last report, which has the given age. since is the number of
// this host's requests to the zone that began after the report. The weight of
// the report decreases with its age.
func reportedUtilization(r Report, since int, age time.Duration) float64 {
	fresh := 1 - float64(age)/float64(reportTTL)
	if r.At == 0 || fresh <= 0 {
		return neutralUtilization
	}
	reported := ratio(r.Warm-r.Free+since, r.Warm)
	return neutralUtilization + (reported-neutralUtilization)*fresh
}

// ratio returns the fraction of the held slots that is in use. Without held slots
// it returns 1 (full).
func ratio(inUse, held int) float64 {
	if held <= 0 {
		return 1
	}
	return float64(inUse) / float64(held)
}
