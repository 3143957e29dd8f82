// Package heartbeats exchanges heartbeats with the other entry hosts.
//
// It owns when they are sent and how one is made and merged; what they say
// belongs to the duties that describe this host and merge reports of others:
// the configuration, the rosters, the upstreams' states and the tickets. Whom
// to send to, and how often, is decided by member.Peers
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
	// FreshAge is the age of the proof that the revision is the newest.
	FreshAge() int64
	// MergeFreshness takes in a peer's proof, asked for at a time.
	MergeFreshness(hb member.Heartbeat, askedAt int64)
	// Fetch takes newer changes from a peer.
	Fetch(ctx context.Context, from member.Contact)
}

// Rosters is the membership in the zone's roster.
type Rosters interface {
	// Describe adds how far this host follows the roster.
	Describe(hb *member.Heartbeat)
	// MergeAck takes in how far a peer follows it, and reports whether
	// that peer has a newer one.
	MergeAck(hb member.Heartbeat) (newer bool)
	// Fetch takes the newest roster from a peer.
	Fetch(ctx context.Context, from member.Contact)
	// Reconfigure works out anew what this host may use.
	Reconfigure()
}

// Upstreams are the states of the zone's upstreams.
type Upstreams interface {
	// Statuses gives what this host reports of them.
	Statuses() []member.UpstreamStatus
	// Merge takes in a peer's reports and says whether any changed a state.
	Merge(statuses []member.UpstreamStatus) bool
}

// Options are what an Exchanger is made of.
type Options struct {
	Zone string
	// Seeds are addresses to ask while no other host is known.
	Seeds      []string
	Peers      *peers.Table
	Services   *services.Set
	Config     Config
	Rosters    Rosters
	Upstreams  Upstreams
	Suspicions Suspicions
	// Successors gives whose successor this host is.
	Successors func() []member.Successor
	// Leaving reports whether this host is stopping.
	Leaving func() bool
	// Answered is called when a peer has answered.
	Answered func()
	// PeerUp is called when a peer answers that did not before.
	PeerUp func()
	// Now reads the host's monotonic clock, in nanoseconds.
	Now  func() int64
	Mesh *peer.Mesh
}

// Exchanger exchanges heartbeats.
type Exchanger struct {
	Options
	exchanged exchanged
}

// New makes an Exchanger.
func New(o Options) *Exchanger { return &Exchanger{Options: o} }

// Tick sends the heartbeats that are due. While no other host is known they go
// to the seeds: the platform may be down when the host starts.
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

// NotifyZone sends a heartbeat to every known host of the zone at once, when
// all of them wait for it: an acknowledgement, a new epoch, an
// upstream's state.
func (e *Exchanger) NotifyZone() {
	for _, p := range e.Peers.Zone(e.Zone) {
		go e.Send(context.Background(), p.Contact)
	}
}

// NotifyAll sends a heartbeat to every known host at once.
func (e *Exchanger) NotifyAll() {
	for _, c := range e.Peers.AllContacts() {
		go e.Send(context.Background(), c)
	}
}

// Send sends a heartbeat to a host and merges the response.
func (e *Exchanger) Send(ctx context.Context, to member.Contact) {
	ctx, cancel := context.WithTimeout(ctx, peers.CallTimeout)
	defer cancel()
	asked, askedAt := time.Now(), e.Now()
	resp, size, err := peer.CallSized[member.Heartbeat](ctx, e.Mesh, to.PeerAddr, peer.KindHeartbeat, e.request(to))
	if err != nil {
		// The status shows hosts that do not answer.
		e.Peers.RecordFailure(to.Host)
		if ctx.Err() != nil {
			// The connection may be cut without an error; make a new one.
			e.Mesh.Drop(to.PeerAddr)
		}
		return
	}
	e.Answered()
	e.unpack(&resp)
	e.Peers.Update(func(p *member.Peers) { p.RecordExchange(size) })
	e.record(resp, asked, time.Since(asked))
	e.mergeSuspicions(resp)
	e.merge(ctx, resp)
	e.Config.MergeFreshness(resp, askedAt)
}

// Serve records a peer's heartbeat, responds with this host's own and merges
// what the peer reports.
func (e *Exchanger) Serve(ctx context.Context, hb member.Heartbeat, w *peer.Responder) {
	// The time it took to come is not known, so that it proves that the
	// peer lives and no more.
	e.record(hb, time.Now(), 0)
	e.mergeSuspicions(hb)
	_ = w.Send(e.response(hb)) // the peer sees the connection's loss itself
	e.merge(ctx, hb)
}

// request makes the heartbeat that asks a host: who this host is and how far.
func (e *Exchanger) request(to member.Contact) member.Heartbeat {
	hb := e.describe(to.Zone)
	p, _ := e.Peers.Get(to.Host)
	hb.ContactsHash = p.ContactsHash
	e.addSuspicions(&hb, to.Host)
	return hb
}

// response makes the heartbeat that responds to one: the slots as well, and
// the zone's hosts when the other host knows others.
func (e *Exchanger) response(asked member.Heartbeat) member.Heartbeat {
	hb := e.describe(asked.Contact.Zone)
	free := e.Services.Free()
	hb.Slots = member.Pack(free)
	if asked.Contact.Zone != e.Zone {
		hb.ZoneSlots = member.Pack(e.Peers.ZoneFree(free))
	}
	contacts := e.Peers.Contacts(e.Zone, e.Leaving())
	hb.ContactsHash = member.HashContacts(contacts)
	if hb.ContactsHash != asked.ContactsHash {
		hb.Contacts = contacts
	}
	e.addSuspicions(&hb, asked.Contact.Host)
	return hb
}

// describe makes what every heartbeat to a host of a zone says.
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

// unpack names the services of a response's slots. At another revision they
// don't match, and the next response will do.
func (e *Exchanger) unpack(hb *member.Heartbeat) {
	v := e.Config.View()
	if hb.Revision != v.Revision() {
		return
	}
	names := v.ServiceNames()
	hb.ServiceSlots = member.Unpack(hb.Slots, names)
	hb.ZoneServiceSlots = member.Unpack(hb.ZoneSlots, names)
}

// record notes a heartbeat. A host that did not answer before may bring a zone
// within reach, which decisions must know at once.
func (e *Exchanger) record(hb member.Heartbeat, asked time.Time, rtt time.Duration) {
	var before member.Peer
	e.Peers.Update(func(p *member.Peers) {
		before, _ = p.Get(hb.Contact.Host)
		p.RecordHeartbeat(hb, asked, rtt)
	})
	if !before.Up(time.Now()) {
		e.PeerUp()
	}
}

// merge takes in what any heartbeat reports, and fetches what is newer at the
// peer.
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
