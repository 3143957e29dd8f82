package heartbeats

import (
	"sync"
	"time"

	"cairndock/internal/poison"
	"cairndock/internal/selector/member"
)

// Suspicions holds the requests that are suspected of terminating upstreams. All
// hosts share suspicions, because such a request may reach any host.
type Suspicions interface {
	// UpdateFor returns the suspicions that a host with the given watermarks does
	// not have yet.
	UpdateFor(m poison.Watermarks, now time.Time, c poison.Scope) poison.Update
	// MergeUpdate merges an update from another host and returns the resulting
	// watermarks.
	MergeUpdate(u poison.Update, now time.Time) poison.Watermarks
}

// exchanged holds, by host name, the watermarks of the suspicions that this host
// and each other host have received from each other.
type exchanged struct {
	mu    sync.Mutex
	hosts map[string]poison.Watermarks
}

// addSuspicions adds the suspicions to a heartbeat that the receiver does not have
// yet.
func (e *Exchanger) addSuspicions(hb *member.Heartbeat, to string) {
	e.exchanged.mu.Lock()
	marks := e.exchanged.hosts[to]
	e.exchanged.mu.Unlock()
	hb.Suspicions = e.Suspicions.UpdateFor(marks, time.Now(), poison.All)
}

// mergeSuspicions merges the suspicions in a heartbeat and stores the new
// watermarks of its sender.
func (e *Exchanger) mergeSuspicions(hb member.Heartbeat) {
	marks := e.Suspicions.MergeUpdate(hb.Suspicions, time.Now())
	e.exchanged.mu.Lock()
	defer e.exchanged.mu.Unlock()
	if e.exchanged.hosts == nil {
		e.exchanged.hosts = map[string]poison.Watermarks{}
	}
	e.exchanged.hosts[hb.Contact.Host] = marks
}
