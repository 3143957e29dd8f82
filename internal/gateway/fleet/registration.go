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
	// read yet.
	registryRetryDelay = 500 * time.Millisecond
	// renewalRetryDelay is that pause once all lists were read. Nothing waits for a
	// renewal, and a store that is down for long does not get two calls per second from
	// each host.
	renewalRetryDelay = 30 * time.Second
	// listDelayPerHost is the pause after reading the list of a region, multiplied by
	// the number of hosts of the own region, so that hosts that start together do not
	// read the lists of other regions faster than the store serves them: 5,900 hosts in
	// 23 regions read 4,600 lists per second. The list of the own region is read first,
	// so that nothing waits for the pause.
	listDelayPerHost = 5 * time.Millisecond
	// listInterval is how often a host registers again and reads all lists. It is a
	// quarter of peerTTL, so that three attempts may fail. 5,900 hosts in 23 regions
	// read 76 lists per second.
	listInterval = 30 * time.Minute
	// maxListJitter is the maximum random addition to listInterval, so that hosts that
	// started together do not read the lists at the same time.
	maxListJitter = 3 * time.Minute
)

// keepRegistered registers this host and reads the lists of hosts that determine its
// share of limits, its own region's first. It repeats this every listInterval until the
// context ends, so that hosts that forgot each other while they were cut off find each
// other again.
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

// register adds this host to the registry and reads the lists of the given regions,
// until both have succeeded.
func (f *Fleet) register(ctx context.Context, regions []string) { f.readAllLists(ctx, regions, false) }

// readAllLists reads the lists of the given regions until all are read, and tries to
// announce this host until it succeeds, unless announced is set. Errors are retried and
// not logged, because the registry is in the store, whose failures the watchers of the
// tables log.
//
// Each host announces itself before it reads a list, so that of two hosts that start
// together the later one finds the earlier one in the list. Other hosts do not find a
// host that could not announce itself, so the lists that it reads count as complete only
// if an earlier process has announced it.
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

// readBeforeAnnouncing reads lists before this host announces itself, to find out
// whether an earlier process did. In that case the other hosts know this host, and it
// may take its share of limits at once.
func (f *Fleet) readBeforeAnnouncing(ctx context.Context, regions []string) (unread []string, listed bool) {
	unread, listed = f.readLists(ctx, regions, false)
	if listed {
		f.mu.Lock()
		f.members.announcedBefore = true
		f.mu.Unlock()
		f.updateAssignment(time.Now())
	}
	return unread, listed
}

func (f *Fleet) retryPause() time.Duration {
	if f.UnreadLists() > 0 {
		return registryRetryDelay
	}
	return renewalRetryDelay
}

// readLists reads the lists of the given regions and returns the regions that remain
// after the first error. listed is set when this host is in the registry. While it is
// not, no list counts as complete, and the first list is read again.
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

// withdrawStale removes hosts of the own region from the registry that have been silent
// for peerTTL and did not announce themselves again in that time, in which a running
// host announces itself four times. Otherwise a host that was removed permanently would
// keep a share of each limit forever. Only one host of the region does this. An error is
// dropped because the next round tries again.
func (f *Fleet) withdrawStale(ctx context.Context) {
	f.mu.Lock()
	now := time.Now()
	_, root := f.members.relayParent(true, now)
	stale := f.members.staleListings(now)
	f.mu.Unlock()
	if !root {
		return
	}
	for _, h := range stale {
		_ = f.options.Registry.Withdraw(ctx, h)
	}
}

// isWithdrawn reports whether the host is stopping and must not announce itself again.
func (f *Fleet) isWithdrawn() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.withdrawn
}

func (f *Fleet) isSelf(l Listing) bool { return l.Host.Name == f.options.Self.Name }

// addList adds a list that was read and returns the pause before the next read.
func (f *Fleet) addList(region string, hosts []Listing, complete bool) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members.addList(region, hosts, complete, time.Now())
	ownRegion := f.members.indexed().byRegion[f.options.Self.Region]
	return listDelayPerHost * time.Duration(1+len(ownRegion))
}
