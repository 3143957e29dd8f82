package entry

import (
	"context"
	"maps"
	"time"

	"cairndock/internal/peer"
	"cairndock/internal/selector/config"
	"cairndock/internal/selector/link"
	"cairndock/internal/selector/member"
)

// pace waits until n bytes may go to a zone, when it is in another region
// and the link there has a limit.
func (h *Host) pace(ctx context.Context, service, zone string, n int) error {
	v := h.View()
	region := v.Region(zone)
	if region == h.region || region == "" {
		return nil
	}
	l, ok := v.Link(h.region, region)
	if !ok {
		return nil
	}
	class := link.Interactive
	if svc, ok := v.Service(service); ok && svc.Class == config.Bulk {
		class = link.Bulk
	}
	return h.pacer(l).Wait(ctx, class, n)
}

// chunkTo gives how much to send to a zone at once.
func (h *Host) chunkTo(zone string) int {
	v := h.View()
	region := v.Region(zone)
	if l, ok := v.Link(h.region, region); ok && region != h.region {
		return h.pacer(l).Chunk()
	}
	return link.Chunk
}

// pacedLink is a link as this host sends on it.
type pacedLink struct {
	*link.Pacer
	loans *link.Loans // under pacersMu
	// used is what was sent lately, in bytes per second.
	used float64
}

func (h *Host) pacer(l config.Link) *pacedLink {
	part := h.linkPart(l)
	h.pacersMu.Lock()
	defer h.pacersMu.Unlock()
	p := h.pacers[l.To]
	if p == nil {
		p = &pacedLink{Pacer: link.NewPacer(part, l.ReservedShare()), loans: link.NewLoans()}
		h.pacers[l.To] = p
	}
	return p
}

// linkPart is this host's even part of a link among the region's hosts.
func (h *Host) linkPart(l config.Link) float64 {
	return float64(l.BytesPerSecond) / float64(h.regionHosts())
}

// regionHosts counts the hosts that may send on the region's links. A zone
// that said nothing yet counts as large as the own.
func (h *Host) regionHosts() int {
	v := h.View()
	h.mu.Lock()
	defer h.mu.Unlock()
	own := max(1, len(h.holder.Current().Members))
	total := own
	for _, z := range v.Zones() {
		if z.Region != h.region || z.Name == h.self.Zone {
			continue
		}
		hosts := 0
		for _, p := range h.peers.Zone(z.Name) {
			hosts = max(hosts, p.Beat.ZoneHosts)
		}
		if hosts == 0 {
			hosts = own
		}
		total += hosts
	}
	return total
}

// retunePacers follows changes of the links, of the region's hosts and of
// loans, and asks for a loan where this host's part is too little.
func (h *Host) retunePacers(ctx context.Context) {
	v := h.View()
	h.pacersMu.Lock()
	pacers := maps.Clone(h.pacers)
	h.pacersMu.Unlock()
	for to, p := range pacers {
		l, ok := v.Link(h.region, to)
		if !ok {
			continue
		}
		used, more := p.Demand()
		part := h.linkPart(l)
		h.pacersMu.Lock()
		p.used = used
		p.Configure(part+p.loans.Balance(time.Now()), l.ReservedShare())
		h.pacersMu.Unlock()
		if more {
			h.borrow(ctx, p, to)
		}
	}
}

// lendMsg asks for a part of the link to a region.
type lendMsg struct {
	Host string `msgpack:"h"`
	To   string `msgpack:"t"`
}

// borrow asks the region's hosts for what they do not use of a link.
func (h *Host) borrow(ctx context.Context, p *pacedLink, to string) {
	for _, c := range h.regionPeers() {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, link.Term/2)
			defer cancel()
			asked := time.Now()
			rate, err := peer.Call[float64](ctx, h.mesh, c.PeerAddr, peer.KindLend, lendMsg{Host: h.self.Host, To: to})
			if err != nil || rate <= 0 {
				return
			}
			h.pacersMu.Lock()
			defer h.pacersMu.Unlock()
			p.loans.Borrowed(c.Host, rate, asked)
		}()
	}
}

// regionPeers gives the other hosts of the region that answer.
func (h *Host) regionPeers() []member.Contact {
	v := h.View()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	var out []member.Contact
	for _, zone := range h.peers.Zones() {
		if v.Region(zone) != h.region {
			continue
		}
		for _, p := range h.peers.Zone(zone) {
			if p.Up(now) && len(out) < maxLenders {
				out = append(out, p.Contact)
			}
		}
	}
	return out
}

// maxLenders bounds the hosts that are asked for a loan at once.
const maxLenders = 8

// serveLend lends what this host does not use, and reduces itself first.
func (h *Host) serveLend(msg lendMsg, w *peer.Responder) {
	l, ok := h.View().Link(h.region, msg.To)
	if !ok {
		_ = w.Send(0.0)
		return
	}
	p := h.pacer(l)
	part := h.linkPart(l)
	now := time.Now()
	h.pacersMu.Lock()
	rate := p.loans.Lend(msg.Host, p.loans.Spare(part, p.used, now), now)
	p.Configure(part+p.loans.Balance(now), l.ReservedShare())
	h.pacersMu.Unlock()
	_ = w.Send(rate)
}
