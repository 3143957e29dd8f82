package entry

import (
	"context"

	"cairndock/internal/peer"
	"cairndock/internal/selector/entry/peers"
	"cairndock/internal/selector/member"
	"cairndock/internal/selector/roster"
	"cairndock/internal/selector/slot"
)

// Drained says how far upstreams are from having no work.
type Drained struct {
	// Outstanding sums the requests still running at the upstreams.
	Outstanding int `json:"outstanding"`
	// Taking counts hosts that may still send new work there.
	Taking int `json:"taking"`
	// Unknown names the hosts that could not be asked.
	Unknown []string `json:"unknown,omitempty"`
}

type drainMsg struct {
	Upstreams []string `msgpack:"u"`
	// Zone asks the host to ask its whole zone.
	Zone bool `msgpack:"z"`
}

// DrainProgress asks every host that may have work at the upstreams.
func (h *Host) DrainProgress(ctx context.Context, names []string) Drained {
	byZone := map[string][]string{}
	for _, name := range names {
		if zone, ok := h.View().ZoneOf(name); ok {
			byZone[zone] = append(byZone[zone], name)
		}
	}
	var sum Drained
	for zone, names := range byZone {
		if zone == h.self.Zone {
			sum.add(h.zoneDrained(ctx, names))
			continue
		}
		sum.add(h.askDrained(ctx, zone, h.peers.Contacts(zone, false), drainMsg{Upstreams: names, Zone: true}))
	}
	return sum
}

func (d *Drained) add(o Drained) {
	d.Outstanding += o.Outstanding
	d.Taking += o.Taking
	d.Unknown = append(d.Unknown, o.Unknown...)
}

// askDrained asks the first of some hosts that answers.
func (h *Host) askDrained(ctx context.Context, name string, hosts []member.Contact, msg drainMsg) Drained {
	for _, c := range hosts {
		callCtx, cancel := context.WithTimeout(ctx, peers.CallTimeout)
		reply, err := peer.Call[Drained](callCtx, h.mesh, c.PeerAddr, peer.KindDrain, msg)
		cancel()
		if err == nil {
			return reply
		}
	}
	return Drained{Unknown: []string{name}}
}

// zoneDrained asks every member of the own zone.
func (h *Host) zoneDrained(ctx context.Context, names []string) Drained {
	sum := h.ownDrained(names)
	cur := h.roster()
	for _, m := range cur.Members {
		if m.Host == h.self.Host || m.State == roster.Gone {
			continue
		}
		c := member.Contact{Host: m.Host, Zone: cur.Zone, PeerAddr: m.PeerAddr}
		sum.add(h.askDrained(ctx, m.Host, []member.Contact{c}, drainMsg{Upstreams: names}))
	}
	return sum
}

func (h *Host) ownDrained(names []string) Drained {
	var d Drained
	for _, name := range names {
		u, ok := h.View().LocalUpstream(name)
		if !ok {
			continue
		}
		if !h.upstreams.Leaving(u) {
			d.Taking++
		}
		h.services.Get(u.Service).Gate.Do(func(p *slot.Pool) { d.Outstanding += p.Outstanding(name) })
	}
	return d
}

func (h *Host) serveDrain(ctx context.Context, msg drainMsg, w *peer.Responder) {
	if msg.Zone {
		_ = w.Send(h.zoneDrained(ctx, msg.Upstreams))
		return
	}
	_ = w.Send(h.ownDrained(msg.Upstreams))
}
