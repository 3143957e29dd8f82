package fleet

import (
	"context"
	"time"
)

// regionQueryInterval is how often a host queries a peer of each other region for the
// hosts of that region, because it gets heartbeats only from some of them. It is a
// quarter of advertisePeriod, so that three queries may fail.
const regionQueryInterval = 15 * time.Second

// hostQuery is the query for other hosts in a heartbeat. It is sent to peers.
type hostQuery uint8

const (
	// queryNone requests no hosts.
	queryNone hostQuery = iota
	// queryRegion requests the live hosts of the peer's region.
	queryRegion
	// queryAll requests all hosts that were recently reported to the peer.
	queryAll
)

// discovery decides which heartbeats query the peer for other hosts.
type discovery struct {
	selfRegion string
	// complete is set once a peer has responded to queryAll.
	complete bool
	// queriedAt is when each other region was last queried. queryAll has the key "".
	queriedAt map[string]time.Time
}

func newDiscovery(selfRegion string) discovery {
	return discovery{selfRegion: selfRegion, queriedAt: map[string]time.Time{}}
}

// next returns the query for a heartbeat to a peer of a region ("" if only the peer's
// address is known) and records when the query was made. A host that has just started
// queries one peer at a time for all hosts until a peer has responded, because queries
// to all peers at once would transfer the whole list once for each peer. After that, it
// queries one peer of each other region at a time.
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

// querySeeds sends heartbeats to the seeds. Their responses contain their identities.
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

// hosts returns the hosts that a query requests.
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
