// Package configsync keeps a host's replica of the configuration up to date:
// it polls the platform's log, relays changes between hosts, tracks how stale
// the replica may be, and accepts changes for the whole system.
//
// The package owns the configuration in force, the changes retained for other
// hosts, and the time of the latest proof that the revision is the newest. It
// depends on the platform's log for the order of changes, on the peers'
// heartbeats for their revisions, and on the host to apply a new configuration
// (docs/design/configuration.md).
package configsync

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cairndock/internal/peer"
	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/peers"
	"cairndock/internal/selector/entry/platformcalls"
	"cairndock/internal/selector/entry/services"
	"cairndock/internal/selector/member"
	"cairndock/internal/selector/roster"
	"cairndock/internal/telemetry"
)

// FreezeAfter is the age of the latest proof that the configuration is the
// newest above which the host freezes: ramps stop and the host's own zone is
// preferred. Two hosts of each zone poll every second, so no host freezes while
// its zone can reach the platform (docs/design/configuration.md).
const FreezeAfter = 4 * time.Second

// Options configures a Replica.
type Options struct {
	Host string
	Zone string
	// Now returns the host's monotonic clock, in nanoseconds.
	Now func() int64
	// Random returns random numbers in [0, 1).
	Random func() float64
	// IsPoller reports whether this host polls the platform for its zone.
	IsPoller func() bool
	// Roster returns the newest roster of this host's zone.
	Roster func() roster.Roster
	// Reconfigure applies the view that is currently in force.
	Reconfigure func()
	// Confirmed is called after each later proof that the revision in force is
	// the newest.
	Confirmed func()
	// SendHeartbeat exchanges a heartbeat with a host and merges the response.
	SendHeartbeat func(ctx context.Context, to member.Contact)
	ChangeLog     *config.Log
	Platform      *platformcalls.Caller
	Peers         *peers.Table
	Services      *services.Set
	Mesh          *peer.Mesh
	Metrics       *telemetry.Metrics
	Log           zerolog.Logger
}

// Replica is this host's replica of the configuration.
type Replica struct {
	Options

	view atomic.Pointer[config.View]
	// freshAt is the time, as returned by Now, at which the revision in force
	// was last proved to be the newest. Zero means never.
	freshAt atomic.Int64

	// mu is held while a configuration is put in force.
	mu     sync.Mutex
	recent []config.Change // the latest changes, retained for relaying
}

// New returns a Replica with the empty configuration.
func New(o Options) *Replica {
	r := &Replica{Options: o}
	r.view.Store(config.NewView(config.NewState(), o.Zone))
	return r
}

// View returns the configuration in force.
func (r *Replica) View() *config.View { return r.view.Load() }

// KnownZones returns the configured zones and the zones that have hosts, sorted
// by name.
func (r *Replica) KnownZones() []string {
	zones := []string{r.Zone}
	for _, z := range r.View().Zones() {
		zones = append(zones, z.Name)
	}
	zones = append(zones, r.Peers.Zones()...)
	slices.Sort(zones)
	return slices.Compact(zones)
}

// Age returns the time since the revision in force was last proved to be the
// newest.
func (r *Replica) Age() time.Duration { return time.Duration(r.Now() - r.freshAt.Load()) }

// Frozen reports whether the configuration may no longer be the newest.
func (r *Replica) Frozen() bool { return r.Age() > FreezeAfter }

// FreshAge returns Age as sent in heartbeats: in milliseconds, rounded up, or -1
// if the revision was never proved to be the newest.
func (r *Replica) FreshAge() int64 {
	at := r.freshAt.Load()
	if at <= 0 {
		return -1
	}
	return (r.Now()-at)/int64(time.Millisecond) + 1
}

// MergeFreshness merges a peer's proof that its revision is the newest. The
// proof's age is counted from requestedAt, the time at which this host sent its
// heartbeat, so that a slow response can only make the proof appear older than
// it is. The time is as returned by Now.
func (r *Replica) MergeFreshness(hb member.Heartbeat, requestedAt int64) {
	if hb.FreshAge < 0 || r.View().Revision() < hb.Revision {
		return
	}
	r.confirm(requestedAt - hb.FreshAge*int64(time.Millisecond))
}

// confirm records that the revision in force was the newest at a time as
// returned by Now.
func (r *Replica) confirm(at int64) {
	for {
		old := r.freshAt.Load()
		if at <= old {
			return
		}
		if r.freshAt.CompareAndSwap(old, at) {
			break
		}
	}
	r.Confirmed()
}

// Adopt puts a whole state in force if it is newer than the current one.
func (r *Replica) Adopt(s *config.State) {
	r.mu.Lock()
	if s.Revision() > r.View().Revision() {
		r.view.Store(config.NewView(s, r.Zone))
		r.recent = nil
	}
	r.mu.Unlock()
	r.Reconfigure()
}

// putInForce applies changes in order and relays them. It skips changes at or
// below the revision in force, because a host's revision never decreases.
func (r *Replica) putInForce(ctx context.Context, changes []config.Change) error {
	applied, err := r.apply(changes)
	if err != nil || len(applied) == 0 {
		return err
	}
	r.Reconfigure()
	r.Metrics.Add("cairndock_config_changes_total", len(applied))
	r.relay(ctx, applied)
	return nil
}

// apply applies the changes whose revisions are above the one in force, either
// all of them or none, and returns them.
func (r *Replica) apply(changes []config.Change) ([]config.Change, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.View().State()
	var applied []config.Change
	for _, c := range changes {
		if c.Revision <= state.Revision() {
			continue
		}
		next, err := state.With(c)
		if err != nil {
			return nil, err
		}
		state = next
		applied = append(applied, c)
	}
	if len(applied) > 0 {
		r.view.Store(r.View().With(state, applied))
		r.recent = append(r.recent, applied...)
		r.recent = r.recent[max(0, len(r.recent)-maxRecent):]
	}
	return applied, nil
}
