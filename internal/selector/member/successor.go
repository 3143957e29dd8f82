package member

import (
	"maps"
	"time"
)

// successorTTL is how long a successor is kept after a heartbeat last named it.
// Heartbeats name a successor for as long as its tickets are needed.
const successorTTL = 5 * time.Minute

// successor is the host that serves the tickets of a stopped incarnation, and the time
// at which a heartbeat last named it.
type successor struct {
	host    string
	namedAt time.Time
}

// Successor returns the host that serves the tickets of a stopped incarnation, and
// whether such a host is known.
func (p *Peers) Successor(incarnation string) (Contact, bool) {
	// For an unknown incarnation the host is "", which AddKnown never adds.
	peer, ok := p.peers[p.successors[incarnation].host]
	return peer.Contact, ok
}

// RecordSuccessors adds the successors that a heartbeat names. It removes successors
// that no heartbeat has named within successorTTL.
func (p *Peers) RecordSuccessors(named []Successor, now time.Time) {
	for _, s := range named {
		p.successors[s.Incarnation] = successor{s.Host, now}
	}
	if len(named) > 0 {
		maps.DeleteFunc(p.successors, func(_ string, s successor) bool { return now.Sub(s.namedAt) > successorTTL })
	}
}
