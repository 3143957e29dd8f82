package fleet

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/warmup"
	"cairndock/internal/gateway/watch"
	"cairndock/internal/pause"
)

// newFleet returns a host that is not running.
func newFleet(r Registry, self Host, regions []string) *Fleet {
	return New(Options{Self: self, Regions: regions, Registry: r, Report: noopReporter{}, Status: func() Status { return readyStatus }})
}

// startRegistering keeps a host of the region west registered until stop is called.
func startRegistering(t *testing.T, r Registry, regions ...string) (f *Fleet, stop func()) {
	f = newFleet(r, host("w0", "west-0", "west"), regions)
	ctx, cancel := context.WithCancel(t.Context())
	go f.keepRegistered(ctx)
	synctest.Wait()
	return f, func() {
		cancel()
		synctest.Wait()
	}
}

// register runs a host's registration for d on the test's clock and returns the regions
// whose lists it has not read completely.
func register(t *testing.T, r Registry, h Host, regions []string, d time.Duration) []string {
	t.Helper()
	f := newFleet(r, h, regions)
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	f.register(ctx, f.regions())
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.unread()
}

func TestTheListsOfAllRegionsAreReadOnceTheHostIsAnnounced(t *testing.T) {
	regions := []string{"east", "south", "west"}
	for _, c := range []struct {
		name   string
		change func(r *fakeRegistry)
		unread []string
	}{
		{"the registry works", func(*fakeRegistry) {}, []string{}},
		{"announcements fail: later hosts would not find this one", func(r *fakeRegistry) { r.down = true }, []string{"west", "east", "south"}},
		{"announcements fail, but an earlier process has announced the host", func(r *fakeRegistry) {
			r.down, r.hosts["w"] = true, host("w", "west-0", "west")
		}, []string{}},
		{"reads fail", func(r *fakeRegistry) { r.unreadable = true }, []string{"west", "east", "south"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newFakeRegistry()
				c.change(r)
				require.Equal(t, c.unread, register(t, r, host("w", "west-0", "west"), regions, 10*time.Second))
			})
		})
	}
}

// A host has no share of a limit before it knows which hosts share it, because its share
// would be too large. Hosts of other regions share other parts of the limit.
func TestAHostHasNoShareOfALimitUntilItKnowsItsRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFakeRegistry()
		r.hosts["e"], r.hosts["w2"] = host("e", "east-0", "east"), host("w2", "west-0", "west")
		f := newFleet(r, host("w", "west-0", "west"), []string{"east", "west"})
		require.Zero(t, f.CommonShare())
		require.Equal(t, 2, f.UnreadLists())
		f.register(t.Context(), f.regions())
		require.Zero(t, f.UnreadLists())
		require.Zero(t, f.CommonShare(), "the others may not know of this host yet")
		time.Sleep(warmup.Window)
		require.Equal(t, 0.25, f.CommonShare())
	})
}

// A slack of 630 retries was split evenly over 295 hosts, of which 27 got all requests,
// so that these had a tenth of the slack. For any sizes of hosts, the shares must add up
// to no more than the limit.
func TestPartsOfALimitAddUp(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		large, small int
		// minLarge is the minimum share that the large hosts have together.
		minLarge float64
	}{{9, 89, 0.79}, {1, 0, 1}, {3, 0, 0.99}, {2, 11, 0.79}} {
		all := slices.Concat(largeAndSmall("west", c.large, c.small), largeAndSmall("east", c.large, c.small))
		sum, large := 0.0, 0.0
		for _, self := range all {
			fraction := membersOf(self, all, now).commonShare(now)
			sum += fraction
			if isLarge(self.Capacity, 800) {
				large += fraction
			}
		}
		require.LessOrEqual(t, sum, 1+1e-9)
		require.GreaterOrEqual(t, large, c.minLarge)
	}
}

// Of two hosts that start together, the later one finds the earlier one in the list.
func TestAListIsReadAfterTheAnnouncement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFakeRegistry()
		r.unreadable = true
		f := newFleet(r, host("w0", "west-0", "west"), []string{"west"})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		go f.register(ctx, f.regions())
		synctest.Wait()
		require.NoError(t, r.announce(ctx, host("w1", "west-0", "west")))
		r.setReadable(true)
		time.Sleep(2 * registryRetryDelay)
		require.Equal(t, 2, f.Hosts())
		r.setReadable(false) // the list that was read is kept
		f.mu.Lock()
		defer f.mu.Unlock()
		require.Empty(t, f.members.unread())
	})
}

// Hosts that were cut off from each other until they forgot each other find each other
// again through the registry.
func TestAHostThatWasForgottenIsFoundAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFakeRegistry()
		f, stop := startRegistering(t, r, "west")
		defer stop()
		require.NoError(t, r.announce(t.Context(), host("w1", "west-0", "west")))
		require.Equal(t, 1, f.Hosts())
		time.Sleep(listInterval + maxListJitter + time.Second)
		require.Equal(t, 2, f.Hosts())
	})
}

// Otherwise a host that was replaced permanently would keep a share of each limit forever.
func TestASilentHostIsWithdrawnByOneOfItsRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFakeRegistry()
		for _, h := range []Host{host("gone", "west-0", "west"), host("other", "east-0", "east"), host("cut", "west-0", "west")} {
			require.NoError(t, r.announce(t.Context(), h))
		}
		_, stop := startRegistering(t, r, "east", "west")
		defer stop()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { // cut off from this host, but not from the registry
			for pause.For(ctx, listInterval) {
				_ = r.announce(ctx, host("cut", "west-0", "west")) // the fake registry accepts it
			}
		}()
		time.Sleep(peerTTL - time.Minute)
		require.Len(t, r.list(), 4, "silent hosts may only be cut off")
		time.Sleep(2 * (listInterval + maxListJitter))
		require.Equal(t, []string{"cut", "other", "w0"}, r.list(), "hosts of other regions are withdrawn only by their own region")
	})
}

func TestAHostThatStopsDoesNotAnnounceItselfAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFakeRegistry()
		f, stop := startRegistering(t, r, "west")
		defer stop()
		require.Equal(t, []string{"w0"}, r.list())
		f.Withdraw(t.Context())
		time.Sleep(2 * listInterval)
		require.Empty(t, r.list())
	})
}

// Hosts that have read all lists rarely call a store that is down for long.
func TestRenewalsAreRetriedLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFakeRegistry()
		f := newFleet(r, host("w0", "west-0", "west"), []string{"west"})
		require.Equal(t, registryRetryDelay, f.retryPause())
		f.register(t.Context(), f.regions())
		require.Equal(t, renewalRetryDelay, f.retryPause())
	})
}

// A host whose version also wrote to the unsplit table has two rows. Only the later row
// is its last announcement.
func TestAnOlderRowIsNoNewAnnouncement(t *testing.T) {
	now := time.Now()
	m := newMembers(host("w0", "west-0", "west"), []string{"west"}, now)
	rows := []Listing{{Host: host("w1", "west-0", "west"), Version: watch.Version{Number: 7}}, {Host: host("w1", "west-0", "west"), Version: watch.Version{Number: 3}}}
	m.addList("west", rows, true, now)
	m.addList("west", rows, true, now.Add(peerTTL))
	require.Len(t, m.staleListings(now.Add(peerTTL)), 1)
}
