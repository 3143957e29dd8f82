package entry

import (
	"context"
	"time"

	"cairndock/internal/peer"
	"cairndock/internal/selector/member"
	"cairndock/internal/selector/steer"
)

const (
	// beatTimeout bounds one heartbeat.
	beatTimeout = 1500 * time.Millisecond
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
	h.keepValidated(ctx)
	now := time.Now()
	h.mu.Lock()
	due := h.peers.Due(now)
	for _, c := range due {
		h.peers.Asking(c.Host, now)
	}
	alone := len(h.peers.Zones()) == 0
	h.mu.Unlock()
	for _, c := range due {
		go h.beatOne(ctx, c)
	}
	if alone {
		h.askSeeds(ctx)
	}
	h.settle()
	h.becomeReady()
	h.refreshDeciders()
	h.refreshEntries()
	h.forgetAdopted(now)
	h.links.Retune(ctx)
}

// askSeeds sends a heartbeat to the peers of the settings, as long as no
// other is known: the platform may be down when the host starts.
func (h *Host) askSeeds(ctx context.Context) {
	for _, addr := range h.opts.Settings.Peers.Seeds {
		if addr != h.self.PeerAddr {
			go h.beatOne(ctx, member.Contact{PeerAddr: addr})
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

func (h *Host) beatOne(ctx context.Context, c member.Contact) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	asked, askedAt := time.Now(), h.now()
	ask := h.ask(c)
	reply, size, err := peer.CallSized[member.Heartbeat](ctx, h.mesh, c.PeerAddr, peer.KindHeartbeat, ask)
	if err != nil {
		h.mu.Lock()
		h.peers.Failed(c.Host, time.Now())
		h.mu.Unlock()
		if ctx.Err() != nil {
			// The connection may be cut without a sign; make a new one.
			h.mesh.Drop(c.PeerAddr)
		}
		return
	}
	h.heard()
	h.unpack(&reply)
	h.mu.Lock()
	h.peers.Spent(size)
	h.mu.Unlock()
	h.takeIn(reply, asked, time.Since(asked))
	h.learn(ctx, reply)
	h.noteFresh(reply, askedAt)
}

// takeIn notes a heartbeat. A host that was not up may bring a zone within
// reach, which decisions must know at once.
func (h *Host) takeIn(b member.Heartbeat, asked time.Time, rtt time.Duration) {
	h.mu.Lock()
	before, _ := h.peers.Get(b.Contact.Host)
	h.peers.Heard(b, asked, rtt)
	h.mu.Unlock()
	if !before.Up(time.Now()) {
		h.refreshDeciders()
	}
}

// ask makes the heartbeat that asks a host: who this host is and how far.
func (h *Host) ask(to member.Contact) member.Heartbeat {
	b := h.basicBeat(to.Zone)
	h.mu.Lock()
	defer h.mu.Unlock()
	p, _ := h.peers.Get(to.Host)
	b.ContactsHash = p.ContactsHash
	return b
}

// answer makes the heartbeat that answers one: the slots as well, and the
// zone's hosts when the asker has others.
func (h *Host) answer(asked member.Heartbeat) member.Heartbeat {
	b := h.basicBeat(asked.Contact.Zone)
	free := h.services.Free()
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	b.Slots = member.Pack(free)
	if asked.Contact.Zone != h.self.Zone {
		b.ZoneSlots = member.Pack(h.zoneFree(free, now))
	}
	contacts := h.peers.Contacts(h.self.Zone, now, h.leaving.Load())
	b.ContactsHash = member.HashContacts(contacts)
	if b.ContactsHash != asked.ContactsHash {
		b.Contacts = contacts
	}
	return b
}

// basicBeat makes what every heartbeat to a host of a zone says.
func (h *Host) basicBeat(zone string) member.Heartbeat {
	v := h.View()
	age := int64(-1)
	if at := h.freshAt.Load(); at > 0 {
		age = (h.now()-at)/int64(time.Millisecond) + 1
	}
	h.ticketsMu.Lock()
	handovers := h.handovers
	h.ticketsMu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	b := member.Heartbeat{
		Contact: h.self, Incarnation: h.holder.Incarnation(),
		Epoch: h.holder.Current().Epoch, Acked: h.acked,
		Revision: v.Revision(), Digest: v.State().Digest(), FreshAge: age,
		Leaving: h.leaving.Load(), ZoneHosts: len(h.holder.Current().Active()), Handovers: handovers,
	}
	if zone == h.self.Zone {
		b.Signs = h.ownSigns()
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

// zoneFree sums the zone's hosts; h.mu is held.
func (h *Host) zoneFree(own []member.Free, now time.Time) []member.Free {
	sum := append([]member.Free(nil), own...)
	for _, p := range h.peers.Zone(h.self.Zone) {
		if !p.Up(now) {
			continue
		}
		for _, f := range p.Beat.Free {
			for i := range sum {
				if sum[i].Service == f.Service {
					sum[i].Free += f.Free
					sum[i].Held += f.Held
					sum[i].Warm += f.Warm
				}
			}
		}
	}
	return sum
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
	h.mu.Lock()
	for _, c := range b.Contacts {
		h.peers.Learn(c)
	}
	h.peers.NoteSuccessors(b.Handovers, time.Now())
	newer := false
	if b.Contact.Zone == h.self.Zone {
		h.holder.Ack(b.Contact.Host, b.Incarnation, b.Acked)
		newer = b.Epoch > h.holder.Current().Epoch
	}
	signed := false
	for _, s := range b.Signs {
		signed = h.noteSign(s) || signed
	}
	h.mu.Unlock()
	if signed {
		h.reconfigure()
	}
	if newer {
		h.fetchRoster(ctx, b.Contact)
	}
	if b.Revision > h.View().Revision() {
		h.fetchChanges(ctx, b.Contact)
	}
}

// settle acknowledges the current roster once nothing is outstanding beyond
// it, and takes up the slots that it gives when all have acknowledged.
func (h *Host) settle() {
	now := time.Now()
	longest := h.services.MaxTimeout()
	h.mu.Lock()
	cur := h.holder.Current().Epoch
	acks := h.acked != cur && h.configured == cur && h.services.Within()
	if acks {
		h.acked = cur
	}
	settled := h.holder.Settle(now, longest)
	// Slots become usable service by service, as their deadlines pass.
	step := h.holder.SettleStep(now)
	moved := step != h.settleStep
	h.settleStep = step
	h.mu.Unlock()
	if settled || moved {
		h.reconfigure()
	}
	if acks {
		h.tellZone()
	}
}

// tellZone sends a heartbeat to every known host of the zone at once, with
// news that all of them wait for: an acknowledgement, a new epoch, a sign.
func (h *Host) tellZone() {
	h.mu.Lock()
	var to []member.Contact
	for _, p := range h.peers.Zone(h.self.Zone) {
		to = append(to, p.Contact)
	}
	h.mu.Unlock()
	for _, c := range to {
		go h.beatOne(context.Background(), c)
	}
}

// refreshDeciders tells each service what is known of the zones now.
func (h *Host) refreshDeciders() {
	frozen := h.Frozen()
	now := time.Now()
	zones := h.zoneReports(now)
	for _, svc := range h.View().Services() {
		s := h.services.Get(svc.Name)
		held, out, latency := s.Usage()
		s.Decide(func(d *steer.Decider) {
			d.SetLocal(held, out, latency)
			d.SetFrozen(frozen)
			d.Meter().Advance(now, frozen)
			for _, z := range zones {
				d.SetZone(z.zone, z.report(svc.Name), z.rtt, z.up)
			}
			d.Rank()
		})
	}
}

type zoneReport struct {
	zone string
	free []member.Free
	at   int64
	rtt  time.Duration
	up   bool
}

func (z zoneReport) report(service string) steer.Report {
	for _, f := range z.free {
		if f.Service == service {
			return steer.Report{Free: f.Free, Held: f.Warm, At: z.at}
		}
	}
	return steer.Report{}
}

// zoneReports takes, for each other zone, the newest word of a host there.
func (h *Host) zoneReports(now time.Time) []zoneReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []zoneReport
	for _, zone := range h.peers.Zones() {
		if zone == h.self.Zone {
			continue
		}
		z := zoneReport{zone: zone}
		for _, p := range h.peers.Zone(zone) {
			if !p.Up(now) {
				continue
			}
			z.up = true
			at := h.now() - int64(now.Sub(p.ToldAt))
			if at > z.at {
				z.at, z.free = at, p.Beat.ZoneFree
			}
			if z.rtt == 0 || (p.RTT > 0 && p.RTT < z.rtt) {
				z.rtt = p.RTT
			}
		}
		out = append(out, z)
	}
	return out
}
