// Package links enforces the bandwidth limits of the links to other regions.
//
// The package keeps one pacer for each link that this host has used, and the loans of
// unused rate between the hosts of a region. The limits come from the configuration.
// The roster and the peers provide the number of hosts that send on the same links.
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

// maxLenders is the maximum number of hosts that are queried for a loan at once.
const maxLenders = 8

// Options configure Links.
type Options struct {
	Host   string
	Zone   string
	Region string
	View   func() *config.View
	Peers  *peers.Table
	// ZoneHosts returns the number of hosts in this host's zone.
	ZoneHosts func() int
	Mesh      *peer.Mesh
}

// Links are the links from this host's region to other regions, with the rates at
// which this host may send. Links is safe for concurrent use.
type Links struct {
	Options
	// started is the start time of the process. Loans that an earlier process of
	// this host granted may still be in use for a while after started.
	started time.Time

	mu     sync.Mutex
	pacers map[string]*pacedLink // by the region sent to
}

// New returns Links that have not been used yet.
func New(o Options) *Links {
	return &Links{Options: o, started: time.Now(), pacers: map[string]*pacedLink{}}
}

// pacedLink is the state of one link on this host.
type pacedLink struct {
	*link.Pacer
	loans *link.Loans // guarded by Links.mu
	// used is the recent send rate, in bytes per second.
	used float64
}

// Wait waits until n bytes of a service's traffic may be sent to a zone. It returns
// immediately for zones of the same region and for links without a limit. The error is
// that of ctx.
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

// Chunk returns the number of bytes to send to a zone at once.
func (l *Links) Chunk(zone string) int {
	if limit, ok := l.limitTo(l.View(), zone); ok {
		return l.pacer(limit).Chunk()
	}
	return link.MaxChunk
}

// limitTo returns the limited link to the region of a zone, if there is one.
func (l *Links) limitTo(v *config.View, zone string) (config.Link, bool) {
	region := v.Region(zone)
	if region == l.Region || region == "" {
		return config.Link{}, false
	}
	return v.Link(l.Region, region)
}

// pacer returns the pacer of a link. A missing pacer is created.
func (l *Links) pacer(limit config.Link) *pacedLink {
	share := l.evenShare(limit)
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pacers[limit.To]
	if p == nil {
		loans := link.NewLoans(l.started)
		p = &pacedLink{Pacer: link.NewPacer(loans.Rate(share, time.Now()), limit.ReservedShare()), loans: loans}
		l.pacers[limit.To] = p
	}
	return p
}

// evenShare returns this host's share of the rate of a link, in bytes per second, when
// all hosts of the region have equal shares.
func (l *Links) evenShare(limit config.Link) float64 {
	return float64(limit.BytesPerSecond) / float64(l.regionHosts())
}

// regionHosts returns the number of hosts that may send on the region's links. A zone
// that has not reported yet is assumed to have as many hosts as this host's zone.
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

// lenders returns the other hosts of the region that are queried for a loan.
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

// Retune updates the pacers after changes of the limits, of the region's hosts and of
// the loans. It requests loans for links on which this host needs more than its share.
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
		share := l.evenShare(limit)
		l.mu.Lock()
		p.used = used
		p.Configure(p.loans.Rate(share, time.Now()), limit.ReservedShare())
		l.mu.Unlock()
		if more {
			l.borrow(ctx, p, to)
		}
	}
}

// LoanRequest requests the loan of a host's unused share of the link to region To.
type LoanRequest struct {
	Host string `msgpack:"h"`
	To   string `msgpack:"t"`
}

// borrow requests the unused shares of a link from other hosts of the region. It does
// not wait for their replies.
func (l *Links) borrow(ctx context.Context, p *pacedLink, to string) {
	for _, c := range l.lenders() {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, link.Term/2)
			defer cancel()
			requestedAt := time.Now()
			rate, err := peer.Call[float64](ctx, l.Mesh, c.PeerAddr, peer.KindLend, LoanRequest{Host: l.Host, To: to})
			if err != nil || rate <= 0 {
				// Without a loan, the even share applies. The next call of Retune
				// may request a loan again.
				return
			}
			l.mu.Lock()
			defer l.mu.Unlock()
			p.loans.Borrowed(c.Host, rate, requestedAt)
		}()
	}
}

// Lend handles a LoanRequest and returns the rate lent, in bytes per second. This host
// reduces its own rate before the borrower can use the loan.
func (l *Links) Lend(req LoanRequest) float64 {
	limit, ok := l.View().Link(l.Region, req.To)
	if !ok {
		return 0
	}
	p := l.pacer(limit)
	share := l.evenShare(limit)
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	rate := p.loans.Lend(req.Host, p.loans.Spare(share, p.used, now), now)
	p.Configure(p.loans.Rate(share, now), limit.ReservedShare())
	return rate
}

// Sent returns the number of bytes that this host has sent on its link to a region.
func (l *Links) Sent(region string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pacers[region]
	if p == nil {
		return 0
	}
	return p.Sent(link.Interactive) + p.Sent(link.Bulk)
}
