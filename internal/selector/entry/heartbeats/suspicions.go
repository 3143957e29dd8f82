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
	// UpdateFor returns what another host does not have yet, and MergeUpdate merges what it sent.
	UpdateFor(m poison.Watermarks, now time.Time) poison.Update
	MergeUpdate(n poison.Update, now time.Time) poison.Watermarks
}

// exchanged has how far this host and each other one, by its name, have each other's
// suspicions.
type exchanged struct {
	mu    sync.Mutex
	hosts map[string]poison.Watermarks
}

// addSuspicions adds to a heartbeat what its receiver does not have yet.
func (e *Exchanger) addSuspicions(hb *member.Heartbeat, to string) {
	e.exchanged.mu.Lock()
	marks := e.exchanged.hosts[to]
	e.exchanged.mu.Unlock()
	hb.Suspicions = e.Suspicions.UpdateFor(marks, time.Now())
}

// mergeSuspicions merges what a heartbeat brought.
func (e *Exchanger) mergeSuspicions(hb member.Heartbeat) {
	marks := e.Suspicions.MergeUpdate(hb.Suspicions, time.Now())
	e.exchanged.mu.Lock()
	defer e.exchanged.mu.Unlock()
	if e.exchanged.hosts == nil {
		e.exchanged.hosts = map[string]poison.Watermarks{}
	}
	e.exchanged.hosts[hb.Contact.Host] = marks
}
