// Package drain counts the requests that are still outstanding at upstreams, over
// all hosts that may have sent some.
//
// The package defines the message that queries other hosts. The roster lists the
// hosts that may have requests in a zone; each host counts its own requests from
// the states of its services and upstreams.
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

// Drained reports how far upstreams are drained. The field names are part of the
// protocol between hosts.
type Drained struct {
	// Outstanding is the number of requests still running at the upstreams.
	Outstanding int `json:"outstanding"`
	// Taking is the sum, over the upstreams, of the hosts that may still send
	// new requests there.
	Taking int `json:"taking"`
	// Unknown lists the hosts and zones that could not be queried.
	Unknown []string `json:"unknown,omitempty"`
}

// add adds the counts of o to d.
func (d *Drained) add(o Drained) {
	d.Outstanding += o.Outstanding
	d.Taking += o.Taking
	d.Unknown = append(d.Unknown, o.Unknown...)
}

// Request queries a host for how far upstreams of its zone are drained.
type Request struct {
	Upstreams []string `msgpack:"u"`
	// Zone is set when the host must query its whole zone.
	Zone bool `msgpack:"z"`
}

// Options configure a Counter.
type Options struct {
	Host     string
	Zone     string
	View     func() *config.View
	Peers    *peers.Table
	Services *services.Set
	// Roster returns the latest roster of this host's zone.
	Roster func() roster.Roster
	// Leaving reports whether this host sends an upstream no new requests.
	Leaving func(u config.Upstream) bool
	Mesh    *peer.Mesh
}

// Counter counts outstanding requests at upstreams.
type Counter struct{ Options }

// New returns a Counter.
func New(o Options) *Counter { return &Counter{o} }

// Count queries every host that may have requests at the upstreams and returns the
// sum. Upstreams that are not configured are ignored.
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
		sum.add(c.query(ctx, zone, c.Peers.Contacts(zone, false), Request{Upstreams: names, Zone: true}))
	}
	return sum
}

// Serve handles a request of another host.
func (c *Counter) Serve(ctx context.Context, req Request) Drained {
	if req.Zone {
		return c.countZone(ctx, req.Upstreams)
	}
	return c.countLocal(req.Upstreams)
}

// query returns the reply of the first host that responds. When no host responds,
// name is reported as unknown.
func (c *Counter) query(ctx context.Context, name string, hosts []member.Contact, req Request) Drained {
	reply, ok := peers.CallFirst[Drained](ctx, c.Mesh, hosts, peer.KindDrain, req)
	if !ok {
		return Drained{Unknown: []string{name}}
	}
	return reply
}

// countZone counts the requests of every member of the host's own zone.
func (c *Counter) countZone(ctx context.Context, names []string) Drained {
	sum := c.countLocal(names)
	cur := c.Roster()
	for _, m := range cur.Members {
		if m.Host == c.Host || m.State == roster.Dead {
			continue
		}
		to := member.Contact{Host: m.Host, Zone: cur.Zone, PeerAddr: m.PeerAddr}
		sum.add(c.query(ctx, m.Host, []member.Contact{to}, Request{Upstreams: names}))
	}
	return sum
}

// countLocal counts the requests of this host.
func (c *Counter) countLocal(names []string) Drained {
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
