package member

import "time"

const (
	// minDownTimeout is the minimum time without a heartbeat after which a peer
	// receives no requests. It is four times minNearInterval.
	minDownTimeout = 2 * time.Second
	// LostTimeout is the time without a heartbeat after which a host that is missing
	// from the platform's host list is treated as dead and its slots are reassigned.
	// It exceeds maxIsolation of package entry/fence (4 s), after which a host that
	// receives no responses stops sending requests. An isolated host stopped 4.15 s
	// after it was cut off.
	LostTimeout = 5 * time.Second
	// rttSamples is the number of samples in the average of the round-trip time. Each
	// new sample has a weight of one eighth, as in TCP (RFC 6298).
	rttSamples = 8
)

// Peer is the state of another host. It is immutable.
type Peer struct {
	Contact Contact
	// Heartbeat is the peer's last heartbeat; zero before the first heartbeat.
	Heartbeat Heartbeat
	// LastSeen is the time of the last heartbeat: for a response when its request was
	// sent, for a request when the request arrived. SlotsAt is LastSeen as of the last
	// response that contained slots. The two can differ, because a heartbeat request
	// contains no slots, so that the slots of the previous response are kept.
	LastSeen time.Time
	SlotsAt  time.Time
	// LastSentAt is when a heartbeat was last sent to the peer, and Interval is the current
	// interval between two heartbeats to it.
	LastSentAt time.Time
	Interval   time.Duration
	// RTT is the moving average of the round-trip time; zero before the first sample.
	RTT time.Duration
	// ContactsHash is the hash of the contacts in the peer's last response.
	ContactsHash uint64
	// FailedSince is when the peer stopped responding; zero while it responds.
	FailedSince time.Time
}

// Up reports whether requests may be sent to the peer: it has recently responded to
// heartbeats and requests, and it is not leaving.
//
// Package gateway/fleet uses the same timeout for all peers, because it sends all
// heartbeats at a fixed interval. Heartbeats in this package have a budget of bytes,
// so that the interval of a peer in another zone can be as long as 40 s.
func (p Peer) Up(now time.Time) bool {
	return !p.LastSeen.IsZero() && now.Sub(p.LastSeen) < downTimeout(p.Interval, p.RTT) &&
		p.FailedSince.IsZero() && !p.Heartbeat.Leaving
}

// downTimeout returns the time without a heartbeat after which a peer is treated as
// down, given its heartbeat interval and round-trip time. It allows for the loss of one
// heartbeat.
func downTimeout(interval, rtt time.Duration) time.Duration {
	return max(minDownTimeout, 2*interval) + 2*rtt
}

// smooth returns the moving average after the new sample rtt.
func smooth(average, rtt time.Duration) time.Duration {
	if average == 0 {
		return rtt
	}
	return (average*(rttSamples-1) + rtt) / rttSamples
}
