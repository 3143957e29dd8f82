package steer

import (
	"time"

	"cairndock/internal/selector/config"
)

const (
	// reportAge is the age at which another zone's report of its slots counts
	// for nothing.
	reportAge = 3 * time.Second
	// refusedPause is how long a zone that refused a request for want of a free
	// slot counts as full.
	refusedPause = 200 * time.Millisecond
	// neutralUse stands for the use of a zone of which nothing fresh is known:
	// half, so that a report that is late or missing neither draws requests
	// nor drives them off.
	neutralUse = 0.5
	// fullPenalty is what a full zone costs, as a multiple of the service's
	// latency: the wait in its queue.
	fullPenalty = 4
	// headroomDistance is what a round trip is divided by where the service
	// prefers headroom to latency.
	headroomDistance = 4
	// headroomCrowding is what crowding is multiplied by there.
	headroomCrowding = 4
	// frozenPenalty, in seconds, is what other zones cost while the
	// configuration may be out of date: as much as a far zone, so that the own
	// zone goes first.
	frozenPenalty = float64(otherRegionRTT) / float64(time.Second)
)

// expectedTime ranks a zone for a request, in seconds; lower is better. rtt is
// the round trip to the zone and latency the service's latency at an upstream,
// both in seconds; use is the part of the zone's slots that is taken, 1 and
// above when it is full. Crowding grows slowly at first, so that a zone is left
// only when it is nearly full; a service that prefers headroom leaves it
// earlier.
func expectedTime(prefer config.Prefer, rtt, use, latency float64) float64 {
	distance, crowding := rtt, use*use*use*latency
	if prefer == config.PreferHeadroom {
		distance /= headroomDistance
		crowding = use * use * headroomCrowding * latency
	}
	expected := distance + crowding
	if use >= 1 {
		expected += fullPenalty * latency
	}
	return expected
}

// reportedUse is the part of a zone's slots that is taken by its last report,
// of an age. since is how many of this host's requests began there after it.
// The report counts less as it ages.
func reportedUse(r Report, since int, age time.Duration) float64 {
	fresh := 1 - float64(age)/float64(reportAge)
	if r.At == 0 || fresh <= 0 {
		return neutralUse
	}
	known := ratio(r.Warm-r.Free+since, r.Warm)
	return neutralUse + (known-neutralUse)*fresh
}

// ratio is the part of the held slots that is taken; without slots it is full.
func ratio(taken, held int) float64 {
	if held <= 0 {
		return 1
	}
	return float64(taken) / float64(held)
}
