package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/warmup"
)

func TestShareOfANumberAmongHosts(t *testing.T) {
	cases := []struct {
		name                  string
		number, hosts, before int
		want                  int
	}{
		{"split evenly, the rest unused", 10, 3, 0, 3},
		{"one each when there are as many as hosts", 3, 3, 2, 1},
		{"one each for the first hosts when there are fewer", 2, 5, 1, 1},
		{"none for the hosts after those", 2, 5, 2, 0},
		{"one for the first host when there are none", 0, 5, 0, 1},
		{"none for the second host when there are none", 0, 5, 1, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			require.Equal(t, tc.want, share(tc.number, tc.hosts, tc.before))
		})
	}
}

// Whichever hosts each host sees alive, together they send a cold upstream no more than
// its rate.
func TestColdPartsAddUpUnderAnyBeliefs(t *testing.T) {
	now := time.Now()
	const total = 26
	names := []string{"west0", "west1", "west2", "east0", "east1", "east2", "south0", "south1", "south2"}
	for views := range 1 << 3 {
		sum := 0
		for i, name := range names {
			m := nineHosts(name, now)
			at := now
			if views>>(i%3)&1 == 1 { // this one gets no heartbeats
				at = now.Add(deadTimeout + time.Second)
			}
			sum += m.warmUpQuota("i-1", "west", total, at).Requests
		}
		require.LessOrEqual(t, sum, total)
		require.Positive(t, sum)
	}
}

// If there are more hosts than the rate has requests, each upstream gets requests from a
// few hosts, and each host has a share of some upstream.
func TestColdPartsAddUpWithManyHosts(t *testing.T) {
	now := time.Now()
	const hosts, total = 27, 16.4
	all := regionHosts("west", hosts)
	served := map[string]bool{}
	for upstream := range 40 {
		sum := 0
		for _, self := range all {
			n := membersOf(self, all, now).warmUpQuota(fmt.Sprint("i-", upstream), "west", total, now).Requests
			sum += n
			if n > 0 {
				served[self.Name] = true
			}
		}
		require.LessOrEqual(t, float64(sum), total)
		require.Positive(t, sum)
	}
	require.Len(t, served, hosts)
}

// Two cold upstreams got more than their rate from hosts of two regions whose processes
// had just started. A host that knew few of the other hosts took a larger share, and a
// host that had received no heartbeat from the upstream's region took a share as if
// there were no hosts in that region. In a recorded run, shares were split over two of
// three hosts of the upstream's region, and over two of six of the others.
//
// Whichever hosts are known, by name or by heartbeats, together the hosts must send a
// cold upstream no more than its rate.
func TestColdPartsAddUpWhoeverIsKnown(t *testing.T) {
	now := time.Now()
	const total, seeds = 26, 200
	all := nineHostsList()
	most := 0
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, seed))
		sum := 0
		for _, self := range all {
			m := newMembers(self, regionsOf(all), now.Add(-longUptime))
			if random.IntN(2) == 0 { // it has read the lists
				m = startedMembers(self, all, now.Add(-longUptime))
			}
			for _, h := range all {
				switch random.IntN(3) {
				case 0: // not known
				case 1:
					m.addKnown(h, now)
				case 2:
					m.recordHeartbeat(h, readyStatus, now)
				}
			}
			sum += m.warmUpQuota("i-1", "west", total, now).Requests
		}
		require.LessOrEqual(t, sum, total, "seed %d", seed)
		most = max(most, sum)
	}
	require.Positive(t, most)
}

// A host must not send a cold upstream any request before it knows which hosts share the
// rate and which requests were recently sent.
func TestAHostHasNoShareOfARateUntilItKnowsTheSharers(t *testing.T) {
	started, all := time.Now(), nineHostsList()
	for _, c := range []struct {
		name   string
		lists  map[string]time.Duration // when the list of each region was read
		region string
		at     time.Duration
		want   warmup.WithheldReason
	}{
		{"a process that has just started", map[string]time.Duration{"west": 0, "east": 0, "south": 0}, "west", warmup.Window - 1, warmup.Starting},
		{"a process that has sent nothing for a window", map[string]time.Duration{"west": 0, "east": 0, "south": 0}, "west", warmup.Window, warmup.NotWithheld},
		{"no list was read", nil, "west", longUptime, warmup.HostsUnknown},
		{"only lists of other regions were read", map[string]time.Duration{"east": 0, "south": 0}, "west", longUptime, warmup.HostsUnknown},
		{"the list of the own region suffices for its upstreams", map[string]time.Duration{"west": 0}, "west", longUptime, warmup.NotWithheld},
		{"the other hosts may not know of this one yet", map[string]time.Duration{"west": longUptime}, "west", longUptime + warmup.Window - 1, warmup.HostsUnknown},
		{"the other hosts had time to learn of this one", map[string]time.Duration{"west": longUptime}, "west", longUptime + warmup.Window, warmup.NotWithheld},
		{"for another region, the list of a sharing region is missing", map[string]time.Duration{"west": 0, "east": 0}, "east", longUptime, warmup.HostsUnknown},
		{"for another region, all sharing hosts are known", map[string]time.Duration{"west": 0, "south": 0}, "east", longUptime, warmup.NotWithheld},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newMembers(all[0], regionsOf(all), started)
			for region, at := range c.lists {
				m.addList(region, listings(all), true, started.Add(at))
			}
			q := m.warmUpQuota("i-1", c.region, 26, started.Add(c.at))
			require.Equal(t, c.want, q.Withheld)
			require.Equal(t, c.want == warmup.NotWithheld, q.Requests > 0)
		})
	}
}

// A stopping host still serves, but is not in the list that starting hosts read.
func TestAStoppingHostHasNoShareOfARate(t *testing.T) {
	r := newFakeRegistry()
	f := startFleet(t, r, host("a", "z", "west"), nil)
	f.mu.Lock()
	f.members.started = time.Now().Add(-longUptime)
	f.members.lists["west"] = f.members.started
	f.mu.Unlock()
	require.Positive(t, f.WarmUpQuota("i-1", "west", 26).Requests)
	require.Positive(t, f.CommonShare())
	f.Withdraw(t.Context())
	require.Equal(t, warmup.Stopping, f.WarmUpQuota("i-1", "west", 26).Withheld)
	require.Zero(t, f.WarmUpQuota("i-1", "west", 26).Requests)
	require.Zero(t, f.CommonShare())
}

func TestAColdUpstreamIsLeftToTheLiveHostsOfItsRegion(t *testing.T) {
	now := time.Now()
	m := nineHosts("east0", now)
	require.Equal(t, warmup.OwnRegion, m.warmUpQuota("i-1", "west", 26, now).Withheld)
	require.Positive(t, m.warmUpQuota("i-1", "west", 26, now.Add(deadTimeout)).Requests)
}

// Hosts were killed and restarted within the second in which they had sent their shares,
// and a new process does not know what the previous one sent. In a recorded run, three
// hosts sent 11 requests before the kill and 15 after it, of 26 that were allowed.
//
// The processes before and after a restart of all hosts must together send a cold
// upstream no more than its rate within one second.
func TestColdPartsAddUpOverARestart(t *testing.T) {
	now := time.Now()
	const total = 26
	sum := 0
	for _, self := range nineHostsList() {
		before, after := nineHosts(self.Name, now), nineHostsAfterRestart(self.Name, now)
		sum += before.warmUpQuota("i-1", "west", total, now).Requests
		sum += after.warmUpQuota("i-1", "west", total, now.Add(time.Second-time.Millisecond)).Requests
	}
	require.LessOrEqual(t, sum, total)
}

// A host from which others received no heartbeat for a minute was forgotten, even if it
// was only cut off from them, and it forgot them in turn. The shares on each side then
// grew as if the other side did not exist. When the hosts of one region were cut off
// from each other and from all other regions, each of them had the whole share.
func TestColdPartsAddUpWhileHostsAreCutOffForAnHour(t *testing.T) {
	start := time.Now()
	const total, cut = 26, time.Hour
	sum := 0
	for _, self := range nineHostsList() {
		m := nineHosts(self.Name, start)
		for at := start; at.Before(start.Add(cut)); at = at.Add(regionQueryInterval) {
			m.expire(at.Add(-regionQueryInterval), at)
		}
		sum += m.warmUpQuota("i-1", "west", total, start.Add(cut)).Requests
	}
	require.LessOrEqual(t, sum, total)
	require.Positive(t, sum)
}

// largeAndSmall returns hosts of one region. The first ones have five times the capacity
// of the others.
func largeAndSmall(region string, large, small int) []Host {
	hosts := regionHosts(region, large+small)
	for i := range hosts {
		hosts[i].Capacity = 160
		if i < large {
			hosts[i].Capacity = 800
		}
	}
	return hosts
}

// Of 98 hosts in a region, nine were large and got all requests. A cold upstream's rate
// was split evenly over all hosts: eight hosts had one request per second each, and on
// average less than one of these hosts was large. The upstream stayed cold and idle
// while other upstreams refused requests.
func TestTheLargeHostsHaveMostOfAColdUpstreamsRate(t *testing.T) {
	now := time.Now()
	const upstreams = 60
	for _, c := range []struct {
		large, small int
		total        float64
		// least is the minimum mean of the requests that the large hosts must have.
		least float64
	}{
		{9, 89, 14.65, 6.9},
		{9, 89, 26, 8.9},
		{4, 23, 12.65, 3.9},
		{2, 11, 40, 18},
		{3, 0, 26, 15},
		{1, 5, 3, 1},
	} {
		t.Run(fmt.Sprint(c.large, " large, ", c.small, " small, rate ", c.total), func(t *testing.T) {
			all := largeAndSmall("west", c.large, c.small)
			var views []*members
			for _, self := range all {
				views = append(views, membersOf(self, all, now))
			}
			large := 0
			for u := range upstreams {
				sum := 0
				for i, m := range views {
					n := m.warmUpQuota(fmt.Sprint("i-", u), "west", c.total, now).Requests
					sum += n
					if i < c.large {
						large += n
					}
				}
				require.LessOrEqual(t, float64(sum), c.total)
			}
			require.GreaterOrEqual(t, float64(large)/upstreams, c.least)
		})
	}
}

// The hosts of other regions, which take over while the upstream's region has no live
// host, also differ in size.
func TestColdPartsAddUpWithHostsOfUnequalSize(t *testing.T) {
	now := time.Now()
	const total = 26
	all := slices.Concat(largeAndSmall("west", 2, 9), largeAndSmall("east", 3, 7), largeAndSmall("south", 0, 8))
	for u := range 40 {
		sum := 0
		for _, self := range all {
			sum += membersOf(self, all, now).warmUpQuota(fmt.Sprint("i-", u), "west", total, now.Add(deadTimeout)).Requests
		}
		require.LessOrEqual(t, sum, total)
		require.Positive(t, sum)
	}
}
