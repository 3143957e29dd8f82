package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"cairndock/internal/pause"
)

const (
	// registryRetryDelay is the pause between attempts to register while a list was not
	// read.
	registryRetryDelay = 500 * time.Millisecond
	// renewalRetryDelay is that pause once all were: nobody waits, and a store that is
	// down for long is not asked twice a second by each host.
	renewalRetryDelay = 30 * time.Second
	// listDelayPerHost is the pause after the list of a region was read, for each host
	// of the own region, so that hosts which start together do not read the lists
	// of other regions faster than the store serves them: 5,900 hosts in 23
	// regions read 4,600 a second. The own region's comes first, so that nobody
	// waits for it.
	listDelayPerHost = 5 * time.Millisecond
	// listInterval is how often a host registers again and reads all lists: a quarter
	// of peerTTL, so that three may fail; 5,900 hosts in 23 regions read 76
	// lists a second.
	listInterval = 30 * time.Minute
	// maxListJitter is the most that is added to listInterval at random, so that hosts
	// which started together do not read the lists together.
	maxListJitter = 3 * time.Minute
)

// keepRegistered registers this host and reads the lists of hosts, its own region's
// first, by which it knows its place. It does so again each listInterval until the context
// ends: hosts that forgot each other while they were cut off find each other again.
func (f *Fleet) keepRegistered(ctx context.Context) {
	regions := f.regions()
	f.register(ctx, regions[:1])
	if !pause.For(ctx, f.otherListsDelay()) {
		return
	}
	f.readAllLists(ctx, regions[1:], true)
	for pause.For(ctx, listInterval+rand.N(maxListJitter)) {
		f.register(ctx, regions)
		f.withdrawStale(ctx)
	}
}

func (f *Fleet) regions() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.regions()
}

// register adds this host to the registry and reads the lists of some regions from
// it, until both have succeeded.
func (f *Fleet) register(ctx context.Context, regions []string) { f.readAllLists(ctx, regions, false) }

// readAllLists reads the lists of some regions until all are read, and announces this
// host until that has succeeded, unless it was announced already. Errors are retried and
// not logged: the registry is in the store, whose failures the tables' watchers log.
//
// Of two hosts that start together, each announces itself before it reads a list, so
// that the later one finds the earlier one there. A host that could not announce
// itself is not found, so the lists that it reads count as whole only if an earlier
// process has announced it.
func (f *Fleet) readAllLists(ctx context.Context, unread []string, announced bool) {
	listed := announced
	if !announced && !f.options.FirstStart {
		unread, listed = f.readBeforeAnnouncing(ctx, unread)
	}
	for ctx.Err() == nil && !f.isWithdrawn() {
		announced = announced || f.announce(ctx)
		listed = listed || announced
		unread, listed = f.readLists(ctx, unread, listed)
		if announced && len(unread) == 0 {
			return
		}
		pause.For(ctx, f.retryPause())
	}
}

// readBeforeAnnouncing reads lists before this host announces itself, so that it sees
// whether an earlier process did: the other hosts know it then, and it may take its part
// of limits at once.
func (f *Fleet) readBeforeAnnouncing(ctx context.Context, regions []string) (unread []string, listed bool) {
	unread, listed = f.readLists(ctx, regions, false)
	if listed {
		f.mu.Lock()
		f.members.announcedBefore = true
		f.mu.Unlock()
		f.updatePlace(time.Now())
	}
	return unread, listed
}

func (f *Fleet) retryPause() time.Duration {
	if f.UnreadLists() > 0 {
		return registryRetryDelay
	}
	return renewalRetryDelay
}

// readLists reads the lists of some regions and returns those that are left after
// the first error. listed is set when this host stands in the registry; while it
// does not, no list counts as whole, and the first is read again.
func (f *Fleet) readLists(ctx context.Context, regions []string, listed bool) (unread []string, nowListed bool) {
	for len(regions) > 0 {
		list, err := f.options.Registry.Read(ctx, regions[0])
		if err != nil {
			return regions, listed
		}
		f.mergeStored(ctx, regions[0], list.Quarantines)
		hosts := list.Hosts
		listed = listed || slices.ContainsFunc(hosts, f.isSelf)
		next := f.addList(regions[0], hosts, listed)
		if !listed || !pause.For(ctx, next) {
			return regions, listed
		}
		regions = regions[1:]
	}
	return nil, listed
}

// withdrawStale removes the hosts of the own region from the registry that have been
// silent for peerTTL and did not announce themselves again in that time, in which
// they would have done so four times: what is gone for good would take a part of each
// limit for ever. One host of the region does so. An error is dropped, as the next
// time tries again.
func (f *Fleet) withdrawStale(ctx context.Context) {
	f.mu.Lock()
	now := time.Now()
	_, root := f.members.relayParent(true, now)
	gone := f.members.staleListings(now)
	f.mu.Unlock()
	if !root {
		return
	}
	for _, h := range gone {
		_ = f.options.Registry.Withdraw(ctx, h)
	}
}

// isWithdrawn reports whether the host stops, and must not announce itself again.
func (f *Fleet) isWithdrawn() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.withdrawn
}

func (f *Fleet) isSelf(l Listing) bool { return l.Host.Name == f.options.Self.Name }

// addList adds a list that was read, and returns how long to pause before the next.
func (f *Fleet) addList(region string, hosts []Listing, whole bool) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members.addList(region, hosts, whole, time.Now())
	ownRegion := f.members.indexed().byRegion[f.options.Self.Region]
	return listDelayPerHost * time.Duration(1+len(ownRegion))
}
