// Package configsync keeps a host's replica of the configuration up to date:
// it polls the platform's log, passes changes on between hosts, knows how old
// the replica may be, and accepts changes for the whole system.
//
// It owns the configuration in force, the changes kept for other hosts and the
// time of the last proof that the revision is the newest. It relies on the
// platform's log for the order of changes, on the peers' heartbeats for who
// has which revision, and on the host to apply a new configuration
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

// FreezeAfter is the age of the last proof that the configuration is the
// newest, after which the host freezes: ramps stand still and the own zone is
// preferred. Two hosts of each zone look each second, so that a host of a zone
// that reaches the platform never gets there (docs/design/configuration.md).
const FreezeAfter = 4 * time.Second

// Options are what a Replica is made of.
type Options struct {
	Host string
	Zone string
	// Now reads the host's monotonic clock, in nanoseconds.
	Now func() int64
	// Random gives random numbers in [0, 1).
	Random func() float64
	// IsPoller reports whether this host looks at the platform for its zone.
	IsPoller func() bool
	// Roster gives the newest roster of this host's zone.
	Roster func() roster.Roster
	// Reconfigure applies the view that is in force now.
	Reconfigure func()
	// Confirmed is called when the revision in force is proved anew to be the
	// newest.
	Confirmed func()
	// SendHeartbeat sends a heartbeat to a host and merges the response.
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
	// freshAt is when the revision in force was last known to be the newest,
	// as read by Now; zero is never.
	freshAt atomic.Int64

	// mu is held while a configuration is put in force.
	mu     sync.Mutex
	recent []config.Change // the last changes, to pass on
}

// New makes a Replica of the empty configuration.
func New(o Options) *Replica {
	r := &Replica{Options: o}
	r.view.Store(config.NewView(config.NewState(), o.Zone))
	return r
}

// View is the configuration in force.
func (r *Replica) View() *config.View { return r.view.Load() }

// KnownZones gives the configured zones and those with hosts, by name.
func (r *Replica) KnownZones() []string {
	zones := []string{r.Zone}
	for _, z := range r.View().Zones() {
		zones = append(zones, z.Name)
	}
	zones = append(zones, r.Peers.Zones()...)
	slices.Sort(zones)
	return slices.Compact(zones)
}

// Age is how long ago the revision in force was last known to be the newest.
func (r *Replica) Age() time.Duration { return time.Duration(r.Now() - r.freshAt.Load()) }

// Frozen reports whether the configuration may no longer be the newest.
func (r *Replica) Frozen() bool { return r.Age() > FreezeAfter }

// FreshAge is Age for heartbeats: in milliseconds, rounded up, and -1 when
// the revision was never known to be the newest.
func (r *Replica) FreshAge() int64 {
	at := r.freshAt.Load()
	if at <= 0 {
		return -1
	}
	return (r.Now()-at)/int64(time.Millisecond) + 1
}

// MergeFreshness takes in a peer's proof that its revision is the newest. Its
// age counts from when this host asked, so that a slow response only makes the
// proof older than it is.
func (r *Replica) MergeFreshness(hb member.Heartbeat, askedAt int64) {
	if hb.FreshAge < 0 || r.View().Revision() < hb.Revision {
		return
	}
	r.confirm(askedAt - hb.FreshAge*int64(time.Millisecond))
}

// confirm notes that the revision in force was the newest at a time.
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

// Adopt puts a whole state in force, if it is newer.
func (r *Replica) Adopt(s *config.State) {
	r.mu.Lock()
	if s.Revision() > r.View().Revision() {
		r.view.Store(config.NewView(s, r.Zone))
		r.recent = nil
	}
	r.mu.Unlock()
	r.Reconfigure()
}

// putInForce applies changes in order and passes them on. Those at or below
// the revision in force are skipped: a host only moves to a higher revision.
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

// apply puts the changes above the revision in force in force, all or none,
// and gives them.
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
