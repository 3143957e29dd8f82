package fleet

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/watch"
)

// When 295 hosts started together, they made 2,650 calls to the store within a second,
// and about as many again after half of them were killed, because each host read all
// tables and all lists of hosts.
func TestFewOfTheHostsThatStartTogetherReadFromTheStore(t *testing.T) {
	now := time.Now()
	all := largeAndSmall("west", 9, 89)
	atStore, large := 0, 0
	for _, self := range all {
		m := startedMembers(self, all, now)
		if !m.startsFromPeers(false, false, now) {
			atStore++
			if isLarge(self.Capacity, 800) {
				large++
			}
		}
	}
	require.Equal(t, storeReaderCount, atStore)
	require.Equal(t, 9, large, "the hosts that clients are given first do not wait")
}

func TestTheFirstHostsOfARegionListARestoredStoreAtOnce(t *testing.T) {
	now := time.Now()
	all := largeAndSmall("west", 9, 89)
	atOnce := 0
	for _, self := range all {
		m := startedMembers(self, all, now)
		require.Zero(t, m.listDelay(true))
		if m.listDelay(false) == 0 {
			atOnce++
		}
	}
	require.Equal(t, storeReaderCount, atOnce)
}

func TestAStartingHostReadsTheTablesFromPeersOrTheStore(t *testing.T) {
	now := time.Now()
	all := regionHosts("west", 50)
	last := all[0]
	for _, h := range all {
		if byRank(h, last) > 0 {
			last = h
		}
	}
	for _, c := range []struct {
		name                                    string
		known                                   []Host
		listRead, firstStart, discoveryComplete bool
		age                                     time.Duration
		peers                                   bool
	}{
		{"no host is known at the first start", nil, false, true, false, 0, true},
		{"no host is known at a restart", nil, false, false, false, 0, false},
		{"one of few hosts, by the list", all[:9], true, true, false, 0, false},
		{"one of many hosts, by the list", all, true, false, false, 0, true},
		{"one of many hosts, by a peer", all, false, false, true, 0, true},
		{"no peer had them in time", all, true, true, true, peerStartTimeout, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newMembers(last, []string{"west"}, now)
			for _, h := range c.known {
				m.addKnown(h, now)
			}
			if c.listRead {
				m.addList("west", nil, true, now)
			}
			require.Equal(t, c.peers, m.startsFromPeers(c.firstStart, c.discoveryComplete, now.Add(c.age)))
		})
	}
}

// countingRegistry is a registry that counts the reads of each region's list.
type countingRegistry struct {
	*fakeRegistry
	reads map[string]int
}

func (r *countingRegistry) Read(ctx context.Context, region string) (RegionList, error) {
	r.mu.Lock()
	r.reads[region]++
	r.mu.Unlock()
	return r.fakeRegistry.Read(ctx, region)
}

// counts returns how many times a region's list was read and a host was announced.
func (r *countingRegistry) counts(region, host string) (reads, announced int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reads[region], int(r.versions[host])
}

func TestTheListsOfOtherRegionsAreReadAtOnceByTheFirstHostsOnly(t *testing.T) {
	for _, c := range []struct {
		name         string
		large, small int
		atOnce       bool
	}{{"one of few hosts", 0, 3, true}, {"one behind many", 20, 1, false}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &countingRegistry{newFakeRegistry(), map[string]int{}}
				all := largeAndSmall("west", c.large, c.small)
				for _, h := range all {
					r.hosts[h.Name] = h
				}
				f := newFleet(r, all[len(all)-1], []string{"east", "west"})
				ctx, cancel := context.WithCancel(t.Context())
				go f.keepRegistered(ctx)
				time.Sleep(time.Second)
				own, _ := r.counts("west", "")
				require.Equal(t, 1, own)
				other, _ := r.counts("east", "")
				require.Equal(t, c.atOnce, other == 1)
				time.Sleep(maxOtherListsDelay)
				other, announced := r.counts("east", f.options.Self.Name)
				require.Equal(t, 1, other)
				require.Equal(t, 1, announced, "the host is announced once")
				cancel()
				synctest.Wait()
			})
		})
	}
}

// unavailableTable is a source that cannot be read.
type unavailableTable struct{}

func (unavailableTable) List(context.Context) (watch.Page, error) {
	return watch.Page{}, errors.New("unavailable")
}

func (unavailableTable) Changes(context.Context, watch.Version, time.Duration) (watch.Page, error) {
	return watch.Page{}, errors.New("unavailable")
}

// Once a host is ready, or no peer had the tables in time, the store is a source again.
func TestTheStoreIsASourceOnceAHostIsReady(t *testing.T) {
	all := largeAndSmall("west", 20, 1)
	status := Status{}
	f := New(Options{Self: all[20], Regions: []string{"west"}, Report: noopReporter{}, Status: func() Status { return status }, Tables: []Table{{Store: unavailableTable{}}}})
	f.addList("west", listings(all[:20]), true)
	require.Empty(t, f.Sources(0))
	status = readyStatus
	require.Equal(t, "store", f.Sources(0)[0].Name)
	status = Status{}
	f.members.started = time.Now().Add(-peerStartTimeout)
	require.Equal(t, "store", f.Sources(0)[0].Name)
}
