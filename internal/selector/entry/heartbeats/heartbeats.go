// Package heartbeats exchanges heartbeats with the other entry hosts.
//
// The package sends heartbeats and builds and merges them. The contents come from
// the components that describe this host and merge the reports of other hosts:
// the configuration, the rosters, the upstreams' states and the tickets.
// member.Peers decides the recipients and the intervals
// (docs/design/heartbeats.md).
package heartbeats

import (
	"context"
	"time"

	"cairndock/internal/peer"
	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/peers"
	"cairndock/internal/selector/entry/services"
	"cairndock/internal/selector/member"
)

// Config is the replica of the configuration.
type Config interface {
	View() *config.View
	// FreshAge returns the age of the latest proof that the revision is the
	// newest, in milliseconds, or -1 without a proof.
	FreshAge() int64
	// MergeFreshness merges the proof of a peer to which this host sent a
	// heartbeat at requestedAt, as returned by Options.Now.
	MergeFreshness(hb member.Heartbeat, requestedAt int64)
	// Fetch fetches newer changes from a peer.
	Fetch(ctx context.Context, from member.Contact)
}

// Rosters is the membership in the zone's roster.
type Rosters interface {
	// Describe adds this host's incarnation, epoch and acknowledgement.
	Describe(hb *member.Heartbeat)
	// MergeAck merges a peer's acknowledgement and reports whether that peer
	// has a newer roster.
	MergeAck(hb member.Heartbeat) (newer bool)
	// Fetch fetches the newest roster from a peer.
	Fetch(ctx context.Context, from member.Contact)
	// Reconfigure recomputes the slots and limits of this host.
	Reconfigure()
}

// Upstreams holds the states of the zone's upstreams.
type Upstreams interface {
	// Statuses returns the states that this host reports.
	Statuses() []member.UpstreamStatus
	// Merge merges a peer's reports and reports whether any changed a state.
	Merge(statuses []member.UpstreamStatus) bool
}

// Options configures an Exchanger.
type Options struct {
	Zone string
	// Seeds are peer addresses that receive heartbeats while no other host is
	// known.
	Seeds      []string
	Peers      *peers.Table
	Services   *services.Set
	Config     Config
	Rosters    Rosters
	Upstreams  Upstreams
	Suspicions Suspicions
	// Successors returns the stopped hosts whose successor this host is.
	Successors func() []member.Successor
	// Leaving reports whether this host is stopping.
	Leaving func() bool
	// Answered is called after each response from a peer.
	Answered func()
	// PeerUp is called when a peer becomes responsive.
	PeerUp func()
	// Now returns the host's monotonic clock, in nanoseconds.
	Now  func() int64
	Mesh *peer.Mesh
}

// Exchanger exchanges heartbeats with other hosts.
type Exchanger struct {
	Options
	exchanged exchanged
}

// New returns an Exchanger with the given options.
func New(o Options) *Exchanger { return &Exchanger{Options: o} }

// Tick sends the heartbeats that are due. While no other host is known, it sends
// heartbeats to the seeds, because the platform may be down when the host starts.
func (e *Exchanger) Tick(ctx context.Context) {
	var due []member.Contact
	alone, now := false, time.Now()
	e.Peers.Update(func(p *member.Peers) {
		due = p.Due(now)
		for _, c := range due {
			p.RecordSent(c.Host, now)
		}
		alone = len(p.Zones()) == 0
	})
	for _, c := range due {
		go e.Send(ctx, c)
	}
	if !alone {
		return
	}
	self := e.Peers.Self().PeerAddr
	for _, addr := range e.Seeds {
		if addr != self {
			go e.Send(ctx, member.Contact{PeerAddr: addr})
		}
	}
}

// NotifyZone immediately sends a heartbeat to every known host of the zone. It is
// used for updates that all of them wait for: an acknowledgement, a new epoch or
// an upstream's state.
func (e *Exchanger) NotifyZone() {
	for _, p := range e.Peers.Zone(e.Zone) {
		go e.Send(context.Background(), p.Contact)
	}
}

// NotifyAll immediately sends a heartbeat to every known host.
func (e *Exchanger) NotifyAll() {
	for _, c := range e.Peers.AllContacts() {
		go e.Send(context.Background(), c)
	}
}

// Send sends a heartbeat to a host and merges the response.
func (e *Exchanger) Send(ctx context.Context, to member.Contact) {
	ctx, cancel := context.WithTimeout(ctx, peers.CallTimeout)
	defer cancel()
	sent, sentAt := time.Now(), e.Now()
	resp, size, err := peer.CallSized[member.Heartbeat](ctx, e.Mesh, to.PeerAddr, peer.KindHeartbeat, e.request(to))
	if err != nil {
		// Unresponsive hosts are shown in the status.
		e.Peers.RecordFailure(to.Host)
		if ctx.Err() != nil {
			// The connection may be broken without an error, so the next call
			// has to use a new one.
			e.Mesh.Drop(to.PeerAddr)
		}
		return
	}
	e.Answered()
	e.unpack(&resp)
	e.Peers.Update(func(p *member.Peers) { p.RecordExchange(size) })
	e.record(resp, sent, time.Since(sent))
	e.mergeSuspicions(resp)
	e.merge(ctx, resp)
	e.Config.MergeFreshness(resp, sentAt)
}

// Serve records a peer's heartbeat, responds with this host's own and merges
// the contents of the peer's heartbeat.
func (e *Exchanger) Serve(ctx context.Context, hb member.Heartbeat, w *peer.Responder) {
	// The transit time of a request is unknown, so the heartbeat only proves
	// that the peer is alive.
	e.record(hb, time.Now(), 0)
	e.mergeSuspicions(hb)
	_ = w.Send(e.response(hb)) // the peer notices a lost connection itself
	e.merge(ctx, hb)
}

// request returns the heartbeat that this host sends to start an exchange.
func (e *Exchanger) request(to member.Contact) member.Heartbeat {
	hb := e.describe(to.Zone)
	p, _ := e.Peers.Get(to.Host)
	hb.ContactsHash = p.ContactsHash
	e.addSuspicions(&hb, to.Host)
	return hb
}

// response returns the heartbeat that responds to a received one. It also
// contains the slots, and the zone's contacts if the other host has a different
// set of them.
func (e *Exchanger) response(received member.Heartbeat) member.Heartbeat {
	hb := e.describe(received.Contact.Zone)
	free := e.Services.Free()
	hb.Slots = member.Pack(free)
	if received.Contact.Zone != e.Zone {
		hb.ZoneSlots = member.Pack(e.Peers.ZoneFree(free))
	}
	contacts := e.Peers.Contacts(e.Zone, e.Leaving())
	hb.ContactsHash = member.HashContacts(contacts)
	if hb.ContactsHash != received.ContactsHash {
		hb.Contacts = contacts
	}
	e.addSuspicions(&hb, received.Contact.Host)
	return hb
}

// describe returns a heartbeat with the fields that are common to all heartbeats
// to hosts of a zone. Upstream states are included only for the host's own
// zone.
func (e *Exchanger) describe(zone string) member.Heartbeat {
	v := e.Config.View()
	hb := member.Heartbeat{
		Contact:  e.Peers.Self(),
		Revision: v.Revision(), Digest: v.State().Digest(), FreshAge: e.Config.FreshAge(),
		Leaving: e.Leaving(), Successors: e.Successors(),
	}
	e.Rosters.Describe(&hb)
	if zone == e.Zone {
		hb.UpstreamStatuses = e.Upstreams.Statuses()
	}
	return hb
}

// unpack assigns the slots of a response to named services. The slots are left
// packed if the response has another revision, because its list of services may
// differ. A later response with the same revision delivers them.
func (e *Exchanger) unpack(hb *member.Heartbeat) {
	v := e.Config.View()
	if hb.Revision != v.Revision() {
		return
	}
	names := v.ServiceNames()
	hb.ServiceSlots = member.Unpack(hb.Slots, names)
	hb.ZoneServiceSlots = member.Unpack(hb.ZoneSlots, names)
}

// record records a heartbeat. If the peer was not up before, record calls PeerUp,
// because its zone may become reachable and the routing decisions must use this
// immediately.
func (e *Exchanger) record(hb member.Heartbeat, requestedAt time.Time, rtt time.Duration) {
	var before member.Peer
	e.Peers.Update(func(p *member.Peers) {
		before, _ = p.Get(hb.Contact.Host)
		p.RecordHeartbeat(hb, requestedAt, rtt)
	})
	if !before.Up(time.Now()) {
		e.PeerUp()
	}
}

// merge merges the contents that requests and responses have in common. It
// fetches the roster and the configuration if the peer has newer ones.
func (e *Exchanger) merge(ctx context.Context, hb member.Heartbeat) {
	e.Peers.Learn(hb.Contacts)
	e.Peers.Update(func(p *member.Peers) { p.RecordSuccessors(hb.Successors, time.Now()) })
	newer := e.Rosters.MergeAck(hb)
	if e.Upstreams.Merge(hb.UpstreamStatuses) {
		e.Rosters.Reconfigure()
	}
	if newer {
		e.Rosters.Fetch(ctx, hb.Contact)
	}
	if hb.Revision > e.Config.View().Revision() {
		e.Config.Fetch(ctx, hb.Contact)
	}
}
