package member

import "time"

const (
	// downAfter is the least silence after which a peer gets no requests: four
	// near intervals.
	downAfter = 2 * time.Second
	// LostAfter is the silence that must go with the platform's host list before
	// a host counts as dead and its slots are given away. It is above
	// maxIsolation of package entry/fence (4 s), after which a host that nobody
	// answers sends nothing: such a host stopped 4.15 s after it was cut off
	// (commit "Fence an isolated host at once, and use the field's words").
	LostAfter = 5 * time.Second
	// rttSamples is how many round trips the average goes back: each new one
	// counts for an eighth, as in TCP (RFC 6298).
	rttSamples = 8
)

// Peer is what a host knows of another one. It is immutable.
type Peer struct {
	Contact Contact
	// Heartbeat is its last heartbeat; zero before the first.
	Heartbeat Heartbeat
	// HeardAt is when that was asked for, and SlotsAt when the slots in it were:
	// a heartbeat that came as a request has none, and keeps those of the one
	// before.
	HeardAt time.Time
	SlotsAt time.Time
	// AskedAt is when a heartbeat was last sent to it, and Every how often that
	// is done now.
	AskedAt time.Time
	Every   time.Duration
	// RTT is the moving average of its round trips; zero before the first.
	RTT time.Duration
	// ContactsHash is of the hosts of its zone that it last named.
	ContactsHash uint64
	// FailedSince is when it stopped responding; zero while it responds.
	FailedSince time.Time
}

// Up reports whether requests may be sent to the peer: it responded lately, to
// heartbeats and requests alike, and is not leaving.
//
// Package gateway/fleet has one silence for all peers, since it sends them all
// heartbeats at a fixed interval. Here heartbeats keep to a budget of bytes, so
// that one of another zone may come every 40 s.
func (p Peer) Up(now time.Time) bool {
	return !p.HeardAt.IsZero() && now.Sub(p.HeardAt) < allowedSilence(p.Every, p.RTT) &&
		p.FailedSince.IsZero() && !p.Heartbeat.Leaving
}

// allowedSilence is how long a peer may be silent that is asked at an interval,
// by its round trip: one heartbeat may be lost.
func allowedSilence(every, rtt time.Duration) time.Duration {
	return max(downAfter, 2*every) + 2*rtt
}

// smooth gives the average round trip after a new one.
func smooth(average, rtt time.Duration) time.Duration {
	if average == 0 {
		return rtt
	}
	return (average*(rttSamples-1) + rtt) / rttSamples
}
