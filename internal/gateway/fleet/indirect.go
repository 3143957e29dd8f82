package fleet

import (
	"context"
	"time"

	"cairndock/internal/gateway/indirect"
	"cairndock/internal/peer"
)

// IndirectServer serves the requests that hosts without a path to upstreams send to this one.
type IndirectServer interface {
	ServeIndirect(ctx context.Context, from string, payload []byte, w *peer.Responder)
}

// indirectHosts returns the live hosts that take requests of hosts without a path to upstreams.
func (m *members) indirectHosts(now time.Time) []indirect.Host {
	var hosts []indirect.Host
	for _, p := range m.peers {
		if p.alive(now) && p.status.TakesIndirect {
			h := p.host
			hosts = append(hosts, indirect.Host{Name: h.Name, Zone: h.Zone, Region: h.Region, Address: h.PeerAddress, Room: p.room()})
		}
	}
	return hosts
}

// unknownRoom is the room of a host whose capacity is unknown. It is the same for all such
// hosts, and high enough for any rate of a sender.
const unknownRoom = 1 << 20

// room returns the requests per second that the host can handle in addition to those that it
// gets.
func (p *peerState) room() int {
	if p.host.Capacity == 0 {
		return unknownRoom
	}
	return p.host.Capacity - p.status.Rate
}

// IndirectHosts returns the live hosts that take requests of hosts without a path to upstreams.
func (f *Fleet) IndirectHosts() []indirect.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.indirectHosts(time.Now())
}

// OpenStream opens a stream to another host and waits for its response. The error is
// peer.ErrNotSent if the request did not run. The caller must close the stream.
func (f *Fleet) OpenStream(ctx context.Context, address string, kind peer.Kind, payload []byte) (*peer.Stream, error) {
	return f.mesh.Open(ctx, address, kind, payload)
}

func (f *Fleet) serveIndirect(ctx context.Context, from peer.Hello, payload []byte, w *peer.Responder) {
	if f.options.Indirect == nil {
		fail(w)
		return
	}
	f.options.Indirect.ServeIndirect(ctx, from.Host, payload, w)
}
