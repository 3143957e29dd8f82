// Package drain counts the work that is still outstanding at upstreams, over
// all hosts that may have some there.
//
// It owns the message that asks for it. It relies on the rosters for who may
// have work in a zone, and on the services and upstreams' states of each host
// for how much.
package drain

import (
	"context"

	"cairndock/internal/peer"
	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/peers"
	"cairndock/internal/selector/entry/services"
	"cairndock/internal/selector/member"
	"cairndock/internal/selector/roster"
	"cairndock/internal/selector/slot"
)

// Drained says how far upstreams are from having no work. The names of its
// fields are on the wire between hosts.
type Drained struct {
	// Outstanding sums the requests still running at the upstreams.
	Outstanding int `json:"outstanding"`
	// Taking counts hosts that may still send new work there.
	Taking int `json:"taking"`
	// Unknown names the hosts that could not be asked.
	Unknown []string `json:"unknown,omitempty"`
}

func (d *Drained) add(o Drained) {
	d.Outstanding += o.Outstanding
	d.Taking += o.Taking
	d.Unknown = append(d.Unknown, o.Unknown...)
}

// Request asks a host how far upstreams of its zone are drained.
type Request struct {
	Upstreams []string `msgpack:"u"`
	// Zone asks the host to ask its whole zone.
	Zone bool `msgpack:"z"`
}

// Options are what a Counter is made of.
type Options struct {
	Host     string
	Zone     string
	View     func() *config.View
	Peers    *peers.Table
	Services *services.Set
	// Roster gives the newest roster of this host's zone.
	Roster func() roster.Roster
	// Leaving reports whether an upstream gets no new work from this host.
	Leaving func(u config.Upstream) bool
	Mesh    *peer.Mesh
}

// Counter counts outstanding work at upstreams.
type Counter struct{ Options }

// New makes a Counter.
func New(o Options) *Counter { return &Counter{o} }

// Count asks every host that may have work at the upstreams.
func (c *Counter) Count(ctx context.Context, names []string) Drained {
	byZone := map[string][]string{}
	for _, name := range names {
		if zone, ok := c.View().ZoneOf(name); ok {
			byZone[zone] = append(byZone[zone], name)
		}
	}
	var sum Drained
	for zone, names := range byZone {
		if zone == c.Zone {
			sum.add(c.countZone(ctx, names))
			continue
		}
		sum.add(c.ask(ctx, zone, c.Peers.Contacts(zone, false), Request{Upstreams: names, Zone: true}))
	}
	return sum
}

// Serve counts for another host.
func (c *Counter) Serve(ctx context.Context, req Request) Drained {
	if req.Zone {
		return c.countZone(ctx, req.Upstreams)
	}
	return c.countOwn(req.Upstreams)
}

// ask asks the first of some hosts that answers. When none does, name is
// reported as unknown.
func (c *Counter) ask(ctx context.Context, name string, hosts []member.Contact, req Request) Drained {
	reply, ok := peers.CallFirst[Drained](ctx, c.Mesh, hosts, peer.KindDrain, req)
	if !ok {
		return Drained{Unknown: []string{name}}
	}
	return reply
}

// countZone asks every member of the own zone.
func (c *Counter) countZone(ctx context.Context, names []string) Drained {
	sum := c.countOwn(names)
	cur := c.Roster()
	for _, m := range cur.Members {
		if m.Host == c.Host || m.State == roster.Dead {
			continue
		}
		to := member.Contact{Host: m.Host, Zone: cur.Zone, PeerAddr: m.PeerAddr}
		sum.add(c.ask(ctx, m.Host, []member.Contact{to}, Request{Upstreams: names}))
	}
	return sum
}

// countOwn counts this host's own work.
func (c *Counter) countOwn(names []string) Drained {
	var d Drained
	for _, name := range names {
		u, ok := c.View().LocalUpstream(name)
		if !ok {
			continue
		}
		if !c.Leaving(u) {
			d.Taking++
		}
		c.Services.Get(u.Service).Gate.Do(func(p *slot.Pool) { d.Outstanding += p.Outstanding(name) })
	}
	return d
}
