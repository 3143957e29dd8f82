package fleet

import (
	"context"
	"slices"
	"time"

	"cairndock/internal/pause"
)

const (
	// registryRetry is the pause between attempts to register until one
	// succeeds. Chosen, not measured.
	registryRetry = 500 * time.Millisecond
	// listPause is the pause after the list of a region was read, for each host
	// of the own region, so that hosts which start together do not read the lists
	// of other regions faster than the store serves them: 5,900 hosts in 23
	// regions read 4,600 a second. The own region's comes first, so that nobody
	// waits for it. Chosen, not measured.
	listPause = 5 * time.Millisecond
	// regionQueryEvery is how often a host asks a peer of each other region
	// which hosts live there, as it gets heartbeats only of some. Chosen, not
	// measured; a quarter of forgetAfter, so that three queries may fail.
	regionQueryEvery = 15 * time.Second
)

// hostQuery is what a heartbeat asks about other hosts. It is on the wire.
type hostQuery uint8

const (
	// queryNone asks nothing.
	queryNone hostQuery = iota
	// queryRegion asks for the live hosts of the peer's region.
	queryRegion
	// queryAll asks for all hosts that the peer knows.
	queryAll
)

// discovery decides which heartbeats ask the peer about other hosts.
type discovery struct {
	selfRegion string
	// complete is set once a peer has responded to queryAll.
	complete bool
	// askedAt is when each other region was last asked; queryAll has the key
	// "".
	askedAt map[string]time.Time
}

func newDiscovery(selfRegion string) discovery {
	return discovery{selfRegion: selfRegion, askedAt: map[string]time.Time{}}
}

// next returns the query for a heartbeat to a peer of a region ("" if it is
// only known by its address) and records that it is asked now. A host that has
// just started asks one peer at a time for all hosts until one has responded:
// asking all at once transfers the whole list as often as there are peers.
// Later it asks one peer of each other region at a time.
func (d *discovery) next(region string, now time.Time) hostQuery {
	query, every := queryRegion, regionQueryEvery
	switch {
	case !d.complete:
		region, query, every = "", queryAll, heartbeatTimeout
	case region == "" || region == d.selfRegion:
		return queryNone
	}
	if now.Sub(d.askedAt[region]) < every {
		return queryNone
	}
	d.askedAt[region] = now
	return query
}

// register adds this host to the registry and reads the lists of all regions from
// it, until all have succeeded once. Errors are retried and not logged: the
// registry is in the store, whose failures the tables' watchers log.
func (f *Fleet) register(ctx context.Context) {
	announced := false
	for ctx.Err() == nil {
		announced = announced || f.options.Registry.Announce(ctx, f.options.Self) == nil
		if f.readLists(ctx, announced) && announced {
			return
		}
		pause.For(ctx, registryRetry)
	}
}

// readLists reads the lists that were not read whole yet, and reports whether there
// are none left. Of two hosts that start together, each announces itself before it
// reads a list, so that the later one finds the earlier one there. A host that could
// not announce itself is not found, so the lists that it reads count as whole only
// if an earlier process has announced it.
func (f *Fleet) readLists(ctx context.Context, announced bool) bool {
	f.mu.Lock()
	regions := f.members.unread()
	f.mu.Unlock()
	for _, region := range regions {
		hosts, err := f.options.Registry.Hosts(ctx, region)
		if err != nil {
			return false
		}
		announced = announced || slices.ContainsFunc(hosts, f.isSelf)
		next := f.addList(region, hosts, announced)
		if !announced || !pause.For(ctx, next) {
			return false
		}
	}
	return true
}

func (f *Fleet) isSelf(h Host) bool { return h.Name == f.options.Self.Name }

// addList adds a list that was read, and returns how long to pause before the next.
func (f *Fleet) addList(region string, hosts []Host, whole bool) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members.addList(region, hosts, whole, time.Now())
	ownRegion := f.members.indexed().byRegion[f.options.Self.Region]
	return listPause * time.Duration(1+len(ownRegion))
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
	var hosts []Host
	for _, p := range f.members.all() {
		hosts = append(hosts, p.host)
	}
	return hosts
}
