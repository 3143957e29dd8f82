package heartbeats

import (
	"sync"
	"time"

	"cairndock/internal/poison"
	"cairndock/internal/selector/member"
)

// Suspicions are what hosts know of requests that end upstreams. All hosts share them,
// as such a request may come to any.
type Suspicions interface {
	// Since returns what has changed after a sequence number, and the number up to
	// which that is all.
	Since(sequence int64, now time.Time) (reports []poison.Report, upTo int64)
	// Merge adds what another host knows.
	Merge(reports []poison.Report, now time.Time)
}

// marks are how far two hosts have each other's suspicions: has is what the other says
// to have of this host's, merged what this host has of the other's.
type marks struct{ has, merged int64 }

// exchanged has the marks of all hosts, by their names.
type exchanged struct {
	mu    sync.Mutex
	hosts map[string]marks
}

// addSuspicions adds to a heartbeat what its receiver does not have yet, by its own
// words. Nothing is lost with a heartbeat, and nothing sent while nothing changes.
func (e *Exchanger) addSuspicions(hb *member.Heartbeat, to string) {
	e.exchanged.mu.Lock()
	m := e.exchanged.hosts[to]
	e.exchanged.mu.Unlock()
	hb.SuspicionsMerged = m.merged
	hb.Suspicions, hb.SuspicionsUpTo = e.Suspicions.Since(m.has, time.Now())
}

// mergeSuspicions merges what a heartbeat brought, and then notes how far.
func (e *Exchanger) mergeSuspicions(hb member.Heartbeat) {
	e.Suspicions.Merge(hb.Suspicions, time.Now())
	e.exchanged.mu.Lock()
	defer e.exchanged.mu.Unlock()
	if e.exchanged.hosts == nil {
		e.exchanged.hosts = map[string]marks{}
	}
	e.exchanged.hosts[hb.Contact.Host] = marks{has: hb.SuspicionsMerged, merged: hb.SuspicionsUpTo}
}
