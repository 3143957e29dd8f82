// Package rosters maintains a host's membership in the roster of its zone and
// configures the services with the slots that the rosters assign to the host.
//
// The package owns the sequence of rosters that the host has seen, the host's
// own acknowledgement, and the detection of dead members. The zone's row in the
// platform's table is authoritative; heartbeats carry acknowledgements and
// epochs. A slot is used only if every roster from the last settled one to the
// newest assigns it to this host (docs/design/slots.md).
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

// HostLister returns the platform's list of live and leaving hosts.
type HostLister interface {
	Hosts(ctx context.Context) ([]store.HostState, error)
}

// Options configures a Membership.
type Options struct {
	Host        string
	Zone        string
	Region      string
	Incarnation string
	View        func() *config.View
	// KnownZones returns the configured zones and the zones that have hosts.
	KnownZones func() []string
	// Leaving reports whether this host is stopping. A stopping host does not
	// join again.
	Leaving func() bool
	// NewEpoch is called, without locks held, after a new roster was merged or
	// this host joined one.
	NewEpoch func()
	// NotifyZone sends a heartbeat to each host of the zone immediately.
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

	// mu is held while the services are configured with slots, so that the
	// host acknowledges the roster that its gates were configured from.
	mu     sync.Mutex
	holder *roster.Holder
	joined bool
	// acked is the latest epoch that this host acknowledged.
	acked uint64
	// configured is the epoch that the gates were configured from.
	configured uint64
	// settleStep is the holder's latest observed step towards a settled roster.
	settleStep int
	// deadSince is when this host first saw each dead member in a roster.
	deadSince map[string]time.Time
}

// New returns the Membership of a host that has not joined yet.
func New(o Options) *Membership {
	return &Membership{
		Options:   o,
		holder:    roster.NewHolder(o.Host, o.Incarnation, o.Zone),
		deadSince: map[string]time.Time{},
	}
}

// NewIncarnation returns a new unique name for an incarnation of a host.
func NewIncarnation() string { return ulid.Make().String() }

// Current returns the newest roster of the zone.
func (m *Membership) Current() roster.Roster {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holder.Current()
}

// Settled reports whether the newest roster is fully in force on this host.
func (m *Membership) Settled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holder.Settled()
}

// Describe adds this host's incarnation, epoch and acknowledgement to a
// heartbeat.
func (m *Membership) Describe(hb *member.Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	cur := m.holder.Current()
	hb.Incarnation, hb.Epoch, hb.Acked, hb.ZoneHosts = m.holder.Incarnation(), cur.Epoch, m.acked, len(cur.Active())
}

// MergeAck merges the acknowledgement of another host and reports whether that
// host has a newer roster.
func (m *Membership) MergeAck(hb member.Heartbeat) (newer bool) {
	if hb.Contact.Zone != m.Zone {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holder.Ack(hb.Contact.Host, hb.Incarnation, hb.Acked)
	return hb.Epoch > m.holder.Current().Epoch
}

// Settle acknowledges the newest roster once this host has at most as many
// requests outstanding as the roster assigns slots to it. The host starts to use added
// slots once all other members have acknowledged the roster.
func (m *Membership) Settle() {
	acked, changed := m.advance()
	if changed {
		m.Reconfigure()
	}
	if acked {
		m.NotifyZone()
	}
}

// advance reports whether this call acknowledged the newest roster, and whether
// the slots that this host may use have changed.
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
	// Slots become usable one service at a time, when the longest deadline of
	// the service has passed.
	step := m.holder.SettleStep(now)
	changed = settled || step != m.settleStep
	m.settleStep = step
	return acked, changed
}

// Merge merges a roster and applies its changes.
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

// observe reports whether a roster is new, and whether this host has joined but
// is not an active member of that roster.
func (m *Membership) observe(r roster.Roster) (isNew, lost bool) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	isNew = m.holder.Observe(r, now)
	for _, other := range r.Members {
		if _, seen := m.deadSince[other.Host]; other.State == roster.Dead && !seen {
			m.deadSince[other.Host] = now
		}
	}
	own, ok := r.Member(m.Host)
	active := ok && own.Incarnation == m.holder.Incarnation() && own.State == roster.Active
	return isNew, m.joined && !m.Leaving() && !active
}

// contacts returns the contacts of a roster's members that are not dead.
func contacts(r roster.Roster) []member.Contact {
	var out []member.Contact
	for _, m := range r.Members {
		if m.State != roster.Dead {
			out = append(out, member.Contact{Host: m.Host, Zone: r.Zone, PeerAddr: m.PeerAddr, ClientAddr: m.ClientAddr})
		}
	}
	return out
}
