package member

import (
	"maps"
	"time"
)

// successorAge is how long a successor is remembered after a heartbeat last named
// it. It is named for as long as the tickets matter.
const successorAge = 5 * time.Minute

// successor is the host that serves a stopped incarnation's tickets, and when a
// heartbeat last named it.
type successor struct {
	host    string
	namedAt time.Time
}

// Successor gives the host that serves a stopped incarnation's tickets, if it is
// known.
func (p *Peers) Successor(incarnation string) (Contact, bool) {
	// Of an unknown incarnation the host is "", which AddKnown never keeps.
	peer, ok := p.peers[p.successors[incarnation].host]
	return peer.Contact, ok
}

// RecordSuccessors adds the successors that a heartbeat names, and forgets those
// that no heartbeat has named for long.
func (p *Peers) RecordSuccessors(hs []Successor, now time.Time) {
	for _, h := range hs {
		p.successors[h.Incarnation] = successor{h.Host, now}
	}
	if len(hs) > 0 {
		maps.DeleteFunc(p.successors, func(_ string, s successor) bool { return now.Sub(s.namedAt) > successorAge })
	}
}
