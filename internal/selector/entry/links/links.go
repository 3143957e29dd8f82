// Package links keeps what a host sends to other regions under the limits of
// the links there.
//
// It owns one pacer for each link that the host has sent on, and the loans of
// unused rate between the hosts of a region. It relies on the configuration
// for the limits and on the roster and the peers for who else sends on the same
// links.
package links

import (
	"context"
	"maps"
	"sync"
	"time"

	"cairndock/internal/peer"
	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/peers"
	"cairndock/internal/selector/link"
	"cairndock/internal/selector/member"
)

// maxLenders is how many hosts are asked for a loan at once.
const maxLenders = 8

// Options are what Links are made of.
type Options struct {
	Host   string
	Zone   string
	Region string
	View   func() *config.View
	Peers  *peers.Table
	// ZoneHosts counts the hosts of this host's zone.
	ZoneHosts func() int
	Mesh      *peer.Mesh
}

// Links are the links from this host's region to others, as this host sends
// on them.
type Links struct {
	Options
	// started is when the process started.
	started time.Time

	mu     sync.Mutex
	pacers map[string]*pacedLink // by the region sent to
}

// New makes Links that nothing was sent on.
func New(o Options) *Links {
	return &Links{Options: o, started: time.Now(), pacers: map[string]*pacedLink{}}
}

// pacedLink is a link as this host sends on it.
type pacedLink struct {
	*link.Pacer
	loans *link.Loans // under Links.mu
	// used is what was sent lately, in bytes per second.
	used float64
}

// Wait waits until n bytes of a service's traffic may go to a zone. It does
// not wait within the region, or where the link has no limit.
func (l *Links) Wait(ctx context.Context, service, zone string, n int) error {
	v := l.View()
	limit, ok := l.limitTo(v, zone)
	if !ok {
		return nil
	}
	class := link.Interactive
	if svc, ok := v.Service(service); ok && svc.Class == config.Bulk {
		class = link.Bulk
	}
	return l.pacer(limit).Wait(ctx, class, n)
}

// Chunk gives how many bytes to send to a zone at once.
func (l *Links) Chunk(zone string) int {
	if limit, ok := l.limitTo(l.View(), zone); ok {
		return l.pacer(limit).Chunk()
	}
	return link.MaxChunk
}

// limitTo gives the limited link to a zone's region, if there is one.
func (l *Links) limitTo(v *config.View, zone string) (config.Link, bool) {
	region := v.Region(zone)
	if region == l.Region || region == "" {
		return config.Link{}, false
	}
	return v.Link(l.Region, region)
}

// pacer gives the pacer of a link, making it when there is none.
func (l *Links) pacer(limit config.Link) *pacedLink {
	part := l.evenPart(limit)
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pacers[limit.To]
	if p == nil {
		loans := link.NewLoans(l.started)
		p = &pacedLink{Pacer: link.NewPacer(loans.Rate(part, time.Now()), limit.ReservedShare()), loans: loans}
		l.pacers[limit.To] = p
	}
	return p
}

// evenPart is this host's part of a link when the region's hosts share it
// evenly, in bytes per second.
func (l *Links) evenPart(limit config.Link) float64 {
	return float64(limit.BytesPerSecond) / float64(l.regionHosts())
}

// regionHosts counts the hosts that may send on the region's links. A zone
// that has not reported yet counts as large as the own.
func (l *Links) regionHosts() int {
	own := max(1, l.ZoneHosts())
	total := own
	for _, z := range l.View().Zones() {
		if z.Region != l.Region || z.Name == l.Zone {
			continue
		}
		hosts := 0
		for _, p := range l.Peers.Zone(z.Name) {
			hosts = max(hosts, p.Heartbeat.ZoneHosts)
		}
		if hosts == 0 {
			hosts = own
		}
		total += hosts
	}
	return total
}

// lenders gives the other hosts of the region to ask for a loan.
func (l *Links) lenders() []member.Contact {
	v := l.View()
	var out []member.Contact
	for _, zone := range l.Peers.Zones() {
		if v.Region(zone) == l.Region {
			out = append(out, l.Peers.UpContacts(zone)...)
		}
	}
	return out[:min(maxLenders, len(out))]
}

// Retune applies changes of the limits, of the region's hosts and of loans,
// and asks for a loan where this host's part is too little.
func (l *Links) Retune(ctx context.Context) {
	v := l.View()
	l.mu.Lock()
	pacers := maps.Clone(l.pacers)
	l.mu.Unlock()
	for to, p := range pacers {
		limit, ok := v.Link(l.Region, to)
		if !ok {
			continue
		}
		used, more := p.Demand()
		part := l.evenPart(limit)
		l.mu.Lock()
		p.used = used
		p.Configure(p.loans.Rate(part, time.Now()), limit.ReservedShare())
		l.mu.Unlock()
		if more {
			l.borrow(ctx, p, to)
		}
	}
}

// LoanRequest asks a host for its unused part of the link to a region.
type LoanRequest struct {
	Host string `msgpack:"h"`
	To   string `msgpack:"t"`
}

// borrow asks the region's hosts for what they do not use of a link.
func (l *Links) borrow(ctx context.Context, p *pacedLink, to string) {
	for _, c := range l.lenders() {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, link.Term/2)
			defer cancel()
			asked := time.Now()
			rate, err := peer.Call[float64](ctx, l.Mesh, c.PeerAddr, peer.KindLend, LoanRequest{Host: l.Host, To: to})
			if err != nil || rate <= 0 {
				// Without a loan the even part holds; the next Retune asks again.
				return
			}
			l.mu.Lock()
			defer l.mu.Unlock()
			p.loans.Borrowed(c.Host, rate, asked)
		}()
	}
}

// Lend gives the rate lent to a host, in bytes per second. This host reduces
// its own rate before the borrower can use it.
func (l *Links) Lend(req LoanRequest) float64 {
	limit, ok := l.View().Link(l.Region, req.To)
	if !ok {
		return 0
	}
	p := l.pacer(limit)
	part := l.evenPart(limit)
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	rate := p.loans.Lend(req.Host, p.loans.Spare(part, p.used, now), now)
	p.Configure(p.loans.Rate(part, now), limit.ReservedShare())
	return rate
}

// Sent is how many bytes this host has put on its link to a region.
func (l *Links) Sent(region string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pacers[region]
	if p == nil {
		return 0
	}
	return p.Sent(link.Interactive) + p.Sent(link.Bulk)
}
