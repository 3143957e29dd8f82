package entry

import (
	"context"
	"time"

	"cairndock/internal/peer"
	"cairndock/internal/selector/entry/peers"
	"cairndock/internal/selector/member"
	"cairndock/internal/selector/steer"
)

// beatLoop is the host's own loop: it sends heartbeats, settles rosters,
// moves ramps on and notices when the host was paused.
func (h *Host) beatLoop(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		h.turn(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-h.wake:
		}
	}
}

func (h *Host) turn(ctx context.Context) {
	h.fence.Tick(ctx, h.rosters.Prove)
	now := time.Now()
	due, alone := h.takeDue(now)
	for _, c := range due {
		go h.sendHeartbeat(ctx, c)
	}
	if alone {
		h.askSeeds(ctx)
	}
	h.rosters.Settle()
	h.becomeReady()
	h.refreshDeciders()
	h.refreshEntries()
	h.tickets.ForgetExpired()
	h.links.Retune(ctx)
}

// takeDue gives the hosts to send a heartbeat to now, and whether this host
// knows no other.
func (h *Host) takeDue(now time.Time) (due []member.Contact, alone bool) {
	h.peers.Update(func(p *member.Peers) {
		due = p.Due(now)
		for _, c := range due {
			p.Asking(c.Host, now)
		}
		alone = len(p.Zones()) == 0
	})
	return due, alone
}

// askSeeds sends a heartbeat to the peers of the settings, as long as no
// other is known: the platform may be down when the host starts.
func (h *Host) askSeeds(ctx context.Context) {
	for _, addr := range h.opts.Settings.Peers.Seeds {
		if addr != h.self.PeerAddr {
			go h.sendHeartbeat(ctx, member.Contact{PeerAddr: addr})
		}
	}
}

// turnNow makes the loop turn early, to spread news.
func (h *Host) turnNow() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

func (h *Host) sendHeartbeat(ctx context.Context, c member.Contact) {
	ctx, cancel := context.WithTimeout(ctx, peers.CallTimeout)
	defer cancel()
	asked, askedAt := time.Now(), h.now()
	ask := h.ask(c)
	reply, size, err := peer.CallSized[member.Heartbeat](ctx, h.mesh, c.PeerAddr, peer.KindHeartbeat, ask)
	if err != nil {
		h.peers.Failed(c.Host)
		if ctx.Err() != nil {
			// The connection may be cut without a sign; make a new one.
			h.mesh.Drop(c.PeerAddr)
		}
		return
	}
	h.fence.Answered()
	h.unpack(&reply)
	h.peers.Update(func(p *member.Peers) { p.Spent(size) })
	h.takeIn(reply, asked, time.Since(asked))
	h.learn(ctx, reply)
	h.config.MergeFreshness(reply, askedAt)
}

// takeIn notes a heartbeat. A host that was not up may bring a zone within
// reach, which decisions must know at once.
func (h *Host) takeIn(b member.Heartbeat, asked time.Time, rtt time.Duration) {
	var before member.Peer
	h.peers.Update(func(p *member.Peers) {
		before, _ = p.Get(b.Contact.Host)
		p.Heard(b, asked, rtt)
	})
	if !before.Up(time.Now()) {
		h.refreshDeciders()
	}
}

// ask makes the heartbeat that asks a host: who this host is and how far.
func (h *Host) ask(to member.Contact) member.Heartbeat {
	b := h.basicBeat(to.Zone)
	p, _ := h.peers.Get(to.Host)
	b.ContactsHash = p.ContactsHash
	return b
}

// answer makes the heartbeat that answers one: the slots as well, and the
// zone's hosts when the asker has others.
func (h *Host) answer(asked member.Heartbeat) member.Heartbeat {
	b := h.basicBeat(asked.Contact.Zone)
	free := h.services.Free()
	b.Slots = member.Pack(free)
	if asked.Contact.Zone != h.self.Zone {
		b.ZoneSlots = member.Pack(h.peers.ZoneFree(free))
	}
	contacts := h.peers.Contacts(h.self.Zone, h.leaving.Load())
	b.ContactsHash = member.HashContacts(contacts)
	if b.ContactsHash != asked.ContactsHash {
		b.Contacts = contacts
	}
	return b
}

// basicBeat makes what every heartbeat to a host of a zone says.
func (h *Host) basicBeat(zone string) member.Heartbeat {
	v := h.View()
	b := member.Heartbeat{
		Contact:  h.self,
		Revision: v.Revision(), Digest: v.State().Digest(), FreshAge: h.config.FreshAge(),
		Leaving: h.leaving.Load(), Handovers: h.tickets.Handovers(),
	}
	h.rosters.Describe(&b)
	if zone == h.self.Zone {
		b.Signs = h.upstreams.Signs()
	}
	return b
}

// unpack names the services of an answer's slots. At another revision they
// can't be told apart, and the next answer will do.
func (h *Host) unpack(b *member.Heartbeat) {
	v := h.View()
	if b.Revision != v.Revision() {
		return
	}
	names := v.ServiceNames()
	b.Free = member.Unpack(b.Slots, names)
	b.ZoneFree = member.Unpack(b.ZoneSlots, names)
}

// serveHeartbeat answers a peer's heartbeat with this host's own.
func (h *Host) serveHeartbeat(ctx context.Context, b member.Heartbeat, w *peer.Responder) {
	// The time it took to come is not known, so that it proves that the
	// peer lives and no more.
	h.takeIn(b, time.Now(), 0)
	_ = w.Send(h.answer(b))
	h.learn(ctx, b)
}

// learn takes in what any heartbeat says.
func (h *Host) learn(ctx context.Context, b member.Heartbeat) {
	h.peers.Learn(b.Contacts)
	h.peers.Update(func(p *member.Peers) { p.NoteSuccessors(b.Handovers, time.Now()) })
	newer := h.rosters.Acknowledged(b)
	if h.upstreams.Merge(b.Signs) {
		h.rosters.Reconfigure()
	}
	if newer {
		h.rosters.Fetch(ctx, b.Contact)
	}
	if b.Revision > h.View().Revision() {
		h.config.Fetch(ctx, b.Contact)
	}
}

// tellZone sends a heartbeat to every known host of the zone at once, with
// news that all of them wait for: an acknowledgement, a new epoch, a sign.
func (h *Host) tellZone() {
	for _, p := range h.peers.Zone(h.self.Zone) {
		go h.sendHeartbeat(context.Background(), p.Contact)
	}
}

// refreshDeciders tells each service what is known of the zones now.
func (h *Host) refreshDeciders() {
	frozen := h.Frozen()
	now := time.Now()
	zones := h.peers.ZoneReports(now)
	for _, svc := range h.View().Services() {
		s := h.services.Get(svc.Name)
		held, out, latency := s.Usage()
		s.Decide(func(d *steer.Decider) {
			d.SetLocal(held, out, latency)
			d.SetFrozen(frozen)
			d.Meter().Advance(now, frozen)
			for _, z := range zones {
				d.SetZone(z.Zone, h.reportOf(z, svc.Name, now), z.RTT, z.Up)
			}
			d.Rank()
		})
	}
}

// reportOf gives what a zone reported of a service, by the host's clock.
func (h *Host) reportOf(z peers.ZoneReport, service string, now time.Time) steer.Report {
	for _, f := range z.Free {
		if f.Service == service {
			return steer.Report{Free: f.Free, Held: f.Warm, At: h.now() - int64(now.Sub(z.At))}
		}
	}
	return steer.Report{}
}
