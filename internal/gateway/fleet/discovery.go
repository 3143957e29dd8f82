package fleet

import (
	"context"
	"time"
)

// regionQueryInterval is how often a host asks a peer of each other region which hosts
// live there, as it gets heartbeats only of some: a quarter of advertisePeriod, so that
// three queries may fail.
const regionQueryInterval = 15 * time.Second

// hostQuery is what a heartbeat asks about other hosts. It is on the wire.
type hostQuery uint8

const (
	// queryNone asks nothing.
	queryNone hostQuery = iota
	// queryRegion asks for the live hosts of the peer's region.
	queryRegion
	// queryAll asks for all hosts of which the peer has heard lately.
	queryAll
)

// discovery decides which heartbeats ask the peer about other hosts.
type discovery struct {
	selfRegion string
	// complete is set once a peer has responded to queryAll.
	complete bool
	// queriedAt is when each other region was last asked; queryAll has the key
	// "".
	queriedAt map[string]time.Time
}

func newDiscovery(selfRegion string) discovery {
	return discovery{selfRegion: selfRegion, queriedAt: map[string]time.Time{}}
}

// next returns the query for a heartbeat to a peer of a region ("" if it is
// only known by its address) and records that it is asked now. A host that has
// just started asks one peer at a time for all hosts until one has responded:
// asking all at once transfers the whole list as often as there are peers.
// Later it asks one peer of each other region at a time.
func (d *discovery) next(region string, now time.Time) hostQuery {
	query, interval := queryRegion, regionQueryInterval
	switch {
	case !d.complete:
		region, query, interval = "", queryAll, heartbeatTimeout
	case region == "" || region == d.selfRegion:
		return queryNone
	}
	if now.Sub(d.queriedAt[region]) < interval {
		return queryNone
	}
	d.queriedAt[region] = now
	return query
}

// querySeeds sends heartbeats to the seeds, whose identities their
// responses have.
func (f *Fleet) querySeeds(ctx context.Context) {
	for _, address := range f.options.Seeds {
		if address != f.options.Self.PeerAddress {
			go f.exchangeHeartbeat(ctx, Host{PeerAddress: address})
		}
	}
}

func (f *Fleet) addKnown(hosts []Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, h := range hosts {
		f.members.addKnown(h, now)
	}
}

// hosts returns the hosts that a query asks for.
func (f *Fleet) hosts(q hostQuery) []Host {
	if q == queryNone {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if q == queryRegion {
		return f.members.aliveInRegion(time.Now())
	}
	return f.members.seenRecently(time.Now())
}
