// Package rosters keeps a host a member of its zone's roster, and gives its
// services the slots that the rosters leave it.
//
// It owns the chain of rosters that the host has seen, its own acknowledgement
// and the deaths of other members. The zone's row in the platform's table is
// the truth; heartbeats carry acknowledgements and epochs. A slot is used only
// if it falls to this host in every roster from the last settled one to the
// newest (docs/design/slots.md).
package rosters

import (
	"context"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rs/zerolog"

	"cairndock/internal/peer"
	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/peers"
	"cairndock/internal/selector/entry/platformcalls"
	"cairndock/internal/selector/entry/services"
	"cairndock/internal/selector/entry/upstreams"
	"cairndock/internal/selector/member"
	"cairndock/internal/selector/roster"
	"cairndock/internal/selector/store"
)

// HostLister gives the platform's list of live and leaving hosts.
type HostLister interface {
	Hosts(ctx context.Context) ([]store.HostState, error)
}

// Options are what a Membership is made of.
type Options struct {
	Host        string
	Zone        string
	Region      string
	Incarnation string
	View        func() *config.View
	// KnownZones gives the configured zones and those with hosts.
	KnownZones func() []string
	// Leaving reports whether this host is stopping, and so joins no more.
	Leaving func() bool
	// NewEpoch is called, without a lock, when there is a new roster or this
	// host has joined one.
	NewEpoch func()
	// NotifyZone sends a heartbeat to each host of the zone at once.
	NotifyZone func()
	Table      config.Table
	HostList   HostLister
	Platform   *platformcalls.Caller
	Peers      *peers.Table
	Services   *services.Set
	Upstreams  *upstreams.Tracker
	Mesh       *peer.Mesh
	Log        zerolog.Logger
}

// Membership is this host's membership in its zone's roster.
type Membership struct {
	Options

	// mu is held while slots are given to services, so that what a host
	// acknowledges is what its gates were configured by.
	mu     sync.Mutex
	holder *roster.Holder
	joined bool
	// acked is the epoch that this host acknowledged last.
	acked uint64
	// configured is the epoch that the gates were configured by.
	configured uint64
	// settleStep is the last step seen of the holder on its way to settle.
	settleStep int
	// goneAt is when this host first saw that a member is gone.
	goneAt map[string]time.Time
}

// New makes the Membership of a host that is no member yet.
func New(o Options) *Membership {
	return &Membership{
		Options: o,
		holder:  roster.NewHolder(o.Host, o.Incarnation, o.Zone),
		goneAt:  map[string]time.Time{},
	}
}

// NewIncarnation draws the name of one incarnation of a host.
func NewIncarnation() string { return ulid.Make().String() }

// Current is the newest roster of the zone.
func (m *Membership) Current() roster.Roster {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holder.Current()
}

// Settled reports whether the newest roster is fully in force here.
func (m *Membership) Settled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holder.Settled()
}

// Describe adds to a heartbeat how far this host follows the roster.
func (m *Membership) Describe(hb *member.Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	cur := m.holder.Current()
	hb.Incarnation, hb.Epoch, hb.Acked, hb.ZoneHosts = m.holder.Incarnation(), cur.Epoch, m.acked, len(cur.Active())
}

// MergeAck takes in how far a host follows the roster, and reports whether
// it has a newer one.
func (m *Membership) MergeAck(hb member.Heartbeat) (newer bool) {
	if hb.Contact.Zone != m.Zone {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holder.Ack(hb.Contact.Host, hb.Incarnation, hb.Acked)
	return hb.Epoch > m.holder.Current().Epoch
}

// Settle acknowledges the newest roster once nothing is outstanding beyond
// what it gives this host, and takes the slots that it adds once all others
// have acknowledged it.
func (m *Membership) Settle() {
	acked, changed := m.advance()
	if changed {
		m.Reconfigure()
	}
	if acked {
		m.NotifyZone()
	}
}

// advance reports whether this host has acknowledged the newest roster now, and
// whether the slots that it may use have changed.
func (m *Membership) advance() (acked, changed bool) {
	now := time.Now()
	longest := m.Services.MaxTimeout()
	m.mu.Lock()
	defer m.mu.Unlock()
	cur := m.holder.Current().Epoch
	acked = m.acked != cur && m.configured == cur && m.Services.WithinHeld()
	if acked {
		m.acked = cur
	}
	settled := m.holder.Settle(now, longest)
	// Slots become usable service by service, as their deadlines pass.
	step := m.holder.SettleStep(now)
	changed = settled || step != m.settleStep
	m.settleStep = step
	return acked, changed
}

// Merge takes in a roster and applies what it changes.
func (m *Membership) Merge(r roster.Roster) {
	m.Peers.Learn(contacts(r))
	isNew, lost := m.observe(r)
	if !isNew {
		return
	}
	m.Log.Info().Uint64("epoch", r.Epoch).Strs("active", r.Active()).Msg("roster: new epoch")
	if lost {
		m.rejoin()
	}
	m.Reconfigure()
	m.NewEpoch()
}

// observe reports whether a roster is new, and whether this host is no longer an
// active member by it.
func (m *Membership) observe(r roster.Roster) (isNew, lost bool) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	isNew = m.holder.Observe(r, now)
	for _, other := range r.Members {
		if _, seen := m.goneAt[other.Host]; other.State == roster.Dead && !seen {
			m.goneAt[other.Host] = now
		}
	}
	own, ok := r.Member(m.Host)
	active := ok && own.Incarnation == m.holder.Incarnation() && own.State == roster.Active
	return isNew, m.joined && !m.Leaving() && !active
}

// contacts gives how to reach a roster's living members.
func contacts(r roster.Roster) []member.Contact {
	var out []member.Contact
	for _, m := range r.Members {
		if m.State != roster.Dead {
			out = append(out, member.Contact{Host: m.Host, Zone: r.Zone, PeerAddr: m.PeerAddr, ClientAddr: m.ClientAddr})
		}
	}
	return out
}
