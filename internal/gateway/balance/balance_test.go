package balance_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/outlier"
	"cairndock/internal/gateway/upstream"
)

// fixedShare is a host's part of a cold upstream's rate.
type fixedShare int

func (f fixedShare) WarmUpQuota(string, string, float64) int { return int(f) }

// nobody is a judge that suspects no upstream.
type nobody struct{}

func (nobody) Ejected(string, time.Time) bool { return false }

func member(id, zone, region string) *upstream.Upstream {
	return &upstream.Upstream{Registration: upstream.Registration{ID: id, Service: "s", Zone: zone, Region: region, Capacity: 4}}
}

func fleet(n int) []*upstream.Upstream {
	var out []*upstream.Upstream
	for i := range n {
		region := []string{"west", "east"}[i%2]
		out = append(out, member("i-"+strconv.Itoa(i), region+"-1", region))
	}
	return out
}

func newBalancer(share int) *balance.Balancer {
	return balance.New(balance.Location{Zone: "west-1", Region: "west", Regions: 2}, balance.DefaultWeights, fixedShare(share), nobody{})
}

func choose(t *testing.T, b *balance.Balancer, q balance.Query) balance.Choice {
	t.Helper()
	c, reason := b.Choose(q)
	require.Equal(t, balance.Chosen, reason)
	return c
}

func TestAKeyStaysAtItsHome(t *testing.T) {
	b, now, all := newBalancer(1), time.Now(), fleet(12)
	for key := range 50 {
		q := balance.Query{Key: strconv.Itoa(key), Candidates: all, Now: now}
		home := choose(t, b, q).Upstream.ID
		b.Done(home)
		for range 5 {
			c := choose(t, b, q)
			require.Equal(t, home, c.Upstream.ID)
			require.Zero(t, c.Rank)
			b.Done(home)
		}
	}
}

// When an upstream goes its keys move, and of the others only as many as the
// region has lost capacity for.
func TestFewKeysMoveWhenAnUpstreamIsGone(t *testing.T) {
	b, now, all := newBalancer(1), time.Now(), fleet(12)
	const keys = 500
	others := 0
	for key := range keys {
		q := balance.Query{Key: strconv.Itoa(key), Candidates: all, Now: now}
		before := choose(t, b, q).Upstream.ID
		b.Done(before)
		q.Candidates = all[1:]
		after := choose(t, b, q).Upstream.ID
		b.Done(after)
		if before != all[0].ID && before != after {
			others++
		}
	}
	require.Less(t, others, keys/11)
}

// A region keeps the part of its keys that it has capacity for.
func TestARegionWithFewUpstreamsLeavesKeysToOthers(t *testing.T) {
	b, now := newBalancer(1), time.Now()
	var all []*upstream.Upstream
	for i := range 24 {
		region := "east"
		if i < 3 {
			region = "west"
		}
		all = append(all, member("i-"+strconv.Itoa(i), region+"-1", region))
	}
	near := 0
	const keys = 1000
	for key := range keys {
		c := choose(t, b, balance.Query{Key: strconv.Itoa(key), Candidates: all, Now: now})
		b.Done(c.Upstream.ID)
		if c.Upstream.Region == "west" {
			near++
		}
	}
	require.InDelta(t, 2*3.0/24, float64(near)/keys, 0.08)
}

// Under overload a request elsewhere takes more than it relieves: a key is
// served at two upstreams and refused beyond them.
func TestABusyHomeHandsToTheSecondAndNoFurther(t *testing.T) {
	b, now, all := newBalancer(1), time.Now(), fleet(12)
	q := balance.Query{Key: "k", Candidates: all, Now: now}
	used := map[string]int{}
	for {
		c, reason := b.Choose(q)
		if reason != balance.Chosen {
			require.Equal(t, balance.Overloaded, reason)
			break
		}
		used[c.Upstream.ID]++
		require.Less(t, used[c.Upstream.ID], 100)
	}
	require.Len(t, used, balance.DefaultWeights.PreferenceListSize)
	// Another key's home has room.
	for key := range 20 {
		q.Key = "other" + strconv.Itoa(key)
		if c, reason := b.Choose(q); reason == balance.Chosen {
			b.Done(c.Upstream.ID)
			return
		}
	}
	t.Fatal("no other key was served")
}

func TestWhatOthersHaveThereCounts(t *testing.T) {
	b, now, all := newBalancer(1), time.Now(), fleet(12)
	q := balance.Query{Key: "k", Candidates: all, Now: now}
	home := choose(t, b, q).Upstream.ID
	b.Done(home)
	b.ObserveLoad(home, 4, 4, now)
	second := choose(t, b, q)
	require.NotEqual(t, home, second.Upstream.ID)
	require.Equal(t, 1, second.Rank)
	// What it told grows old and counts for nothing.
	q.Now = now.Add(2 * time.Second)
	require.Equal(t, home, choose(t, b, q).Upstream.ID)
}

func TestAColdUpstreamGetsTheHostsShareInAnySecond(t *testing.T) {
	b, now := newBalancer(3), time.Now()
	cold := member("cold", "west-1", "west")
	cold.ColdUntil = now.Add(10 * time.Second)
	sent := []time.Time{}
	for at := now; at.Before(cold.ColdUntil); at = at.Add(20 * time.Millisecond) {
		c, reason := b.Choose(balance.Query{Key: "k", Candidates: []*upstream.Upstream{cold}, Now: at})
		if reason == balance.Chosen {
			b.Done(c.Upstream.ID)
			sent = append(sent, at)
			continue
		}
		require.Equal(t, balance.WarmUpLimited, reason)
	}
	for i := range sent {
		if i >= 3 {
			require.Greater(t, sent[i].Sub(sent[i-3]), time.Second)
		}
	}
	require.Greater(t, len(sent), 20)
	// Warm, it takes what it has room for.
	_, reason := b.Choose(balance.Query{Key: "k", Candidates: []*upstream.Upstream{cold}, Now: cold.ColdUntil})
	require.Equal(t, balance.Chosen, reason)
}

func TestARequestStaysInItsRegions(t *testing.T) {
	b, now, all := newBalancer(1), time.Now(), fleet(12)
	for key := range 100 {
		q := balance.Query{Key: strconv.Itoa(key), Candidates: all, Now: now, Allows: func(r string) bool { return r == "east" }}
		c := choose(t, b, q)
		require.Equal(t, "east", c.Upstream.Region)
		b.Done(c.Upstream.ID)
	}
	_, reason := b.Choose(balance.Query{Key: "k", Candidates: all, Now: now, Allows: func(string) bool { return false }})
	require.Equal(t, balance.NoCandidates, reason)
}

// noReporter is told of ejections and does nothing.
type noReporter struct{}

func (noReporter) FailureSeen()             {}
func (noReporter) Ejected(outlier.Ejection) {}

func TestAFailingUpstreamIsTheLastChoiceForAWhile(t *testing.T) {
	now, all := time.Now(), fleet(4)
	detector := outlier.New(noReporter{})
	b := balance.New(balance.Location{Zone: "west-1", Region: "west", Regions: 2}, balance.DefaultWeights, fixedShare(1), detector)
	q := balance.Query{Key: "k", Candidates: all, Now: now}
	home := choose(t, b, q).Upstream.ID
	b.Done(home)
	detector.RecordOutcome(home, outlier.Unreachable, now)
	require.NotEqual(t, home, choose(t, b, q).Upstream.ID)
	// Alone, it is tried all the same: a wrong belief empties no service.
	for _, m := range all {
		if m.ID == home {
			q.Candidates = []*upstream.Upstream{m}
		}
	}
	require.Equal(t, home, choose(t, b, q).Upstream.ID)
	q.Candidates, q.Now = all, now.Add(time.Second)
	require.Equal(t, home, choose(t, b, q).Upstream.ID)
}

func TestAnUpstreamIsNotTriedTwice(t *testing.T) {
	b, now, all := newBalancer(1), time.Now(), fleet(2)
	q := balance.Query{Key: "k", Candidates: all, Now: now, Tried: []string{all[0].ID, all[1].ID}}
	_, reason := b.Choose(q)
	require.Equal(t, balance.NoCandidates, reason)
}

// A region with half the capacity that its keys need serves the large answers
// itself and leaves the small ones to others.
func TestLargeAnswersStayNearFirst(t *testing.T) {
	b, now := newBalancer(1), time.Now()
	var all []*upstream.Upstream
	for i := range 12 {
		region := "east"
		if i < 3 {
			region = "west"
		}
		all = append(all, member("i-"+strconv.Itoa(i), region+"-1", region))
	}
	near := map[bool]int{}
	const keys = 500
	for key := range keys {
		for _, bulk := range []bool{true, false} {
			c := choose(t, b, balance.Query{Key: strconv.Itoa(key), Candidates: all, Now: now, Bulk: bulk, Mixed: true})
			b.Done(c.Upstream.ID)
			if c.Upstream.Region == "west" {
				near[bulk]++
			}
		}
	}
	require.Greater(t, near[true], keys*7/10)
	require.Less(t, near[false], keys*3/10)
}

// Under load the less urgent are refused first.
func TestTheMoreUrgentFindRoom(t *testing.T) {
	now, all := time.Now(), fleet(12)
	taken := make([]int, 4)
	for priority := range taken {
		b := newBalancer(1)
		q := balance.Query{Key: "k", Candidates: all, Now: now, Priority: priority}
		for {
			if _, reason := b.Choose(q); reason != balance.Chosen {
				require.Equal(t, balance.Overloaded, reason)
				break
			}
			taken[priority]++
		}
		// What the less urgent leave, a more urgent request takes.
		q.Priority = 0
		_, reason := b.Choose(q)
		require.Equal(t, priority != 0, reason == balance.Chosen)
	}
	require.IsDecreasing(t, taken)
	require.Positive(t, taken[3])
}

// A request that its busy home has room for goes to the next one only if that
// is not busy, too: there its object is not warm, and takes three times as long.
func TestABusyHomeSpillsOnlyToOneWithRoom(t *testing.T) {
	for _, c := range []struct {
		name   string
		second int
		rank   int
	}{
		{"the next has room", 2, 1},
		{"the next is less busy", 4, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, now, all := newBalancer(1), time.Now(), fleet(2)
			q := balance.Query{Key: "k", Candidates: all, Now: now}
			first := choose(t, b, q).Upstream.ID
			second := all[0].ID
			if second == first {
				second = all[1].ID
			}
			b.ObserveLoad(first, 6, 0, now) // 6 of 4
			b.ObserveLoad(second, c.second, 0, now)
			require.Equal(t, c.rank, choose(t, b, q).Rank)
		})
	}
}

// ejecting is a judge that suspects one upstream.
type ejecting string

func (e ejecting) Ejected(upstream string, _ time.Time) bool { return upstream == string(e) }

func TestAnEjectedUpstreamIsAvoidedWhileTheOthersHaveRoom(t *testing.T) {
	for _, c := range []struct {
		name    string
		load    int
		avoided bool
	}{
		{"the others have room", 1, true},
		{"the others are busy", 3, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			now, all := time.Now(), fleet(4)
			q := balance.Query{Key: "k", Candidates: all, Now: now}
			home := choose(t, newBalancer(1), q).Upstream.ID
			place := balance.Location{Zone: "west-1", Region: "west", Regions: 2}
			b := balance.New(place, balance.DefaultWeights, fixedShare(1), ejecting(home))
			for _, m := range all {
				if m.ID != home {
					b.ObserveLoad(m.ID, c.load, 0, now)
				}
			}
			require.Equal(t, c.avoided, choose(t, b, q).Upstream.ID != home)
		})
	}
}

// twoZones is a region with two zones, and another region.
func twoZones() []*upstream.Upstream {
	var all []*upstream.Upstream
	for i := range 4 {
		n := strconv.Itoa(i)
		all = append(all, member("own-"+n, "west-1", "west"), member("near-"+n, "west-2", "west"),
			member("far-"+n, "east-1", "east"), member("further-"+n, "east-2", "east"))
	}
	return all
}

// A request that gains nothing from its homes is refused only when no
// upstream at all has room.
func TestARequestWithoutHomesFindsTheLastRoom(t *testing.T) {
	b, now, all := newBalancer(1), time.Now(), twoZones()
	placed := 0
	for request := 0; ; request++ {
		require.Less(t, request, 1000)
		_, reason := b.Choose(balance.Query{Key: strconv.Itoa(request), NoAffinity: true, Candidates: all, Now: now})
		if reason != balance.Chosen {
			require.Equal(t, balance.Overloaded, reason)
			break
		}
		placed++
	}
	room := float64(len(all)*all[0].Capacity) * balance.DefaultWeights.RejectAbove
	require.GreaterOrEqual(t, float64(placed), room)
}

// It stays in its own zone while that has room, and is spread there.
func TestARequestWithoutHomesStaysNearWhileThereIsRoom(t *testing.T) {
	b, now, all := newBalancer(1), time.Now(), twoZones()
	used := map[string]int{}
	const requests = 8 // half of the zone's capacity
	for request := range requests {
		c := choose(t, b, balance.Query{Key: strconv.Itoa(request), NoAffinity: true, Candidates: all[:8], Now: now})
		used[c.Upstream.ID]++
		require.Equal(t, "west-1", c.Upstream.Zone)
	}
	for id, n := range used {
		require.LessOrEqual(t, n, all[0].Capacity, id)
	}
}

// A host dials an upstream only for a request that has no idle connection to
// use (exchange.Pool), so its connections to one upstream never outnumber the
// requests that were outstanding there at once. That number is bounded by the
// load above which the upstream takes none: the largest one below
// rejectAbove x capacity, and one more.
func TestConnectionsToAnUpstreamStayBelowItsLimit(t *testing.T) {
	for _, c := range []struct {
		deployment     string
		hosts          int // spare ones included
		capacity       int
		maxConnections int
		outstanding    int // per host
	}{
		{"cacf-ruteo ruteo", 15, 9, 330, 17},
		{"cacf-ruteo patio", 15, 3, 330, 6},
		{"renkoda-mix", 15, 3, 330, 6},
		{"cacf-ruteo-grown", 94, 9, 1620, 17},
		{"renkoda-mix-grown", 93, 3, 1620, 6},
		{"cacf-ruteo-large", 295, 9, 5400, 17},
		{"freight planning as first described", 9, 6, 110, 12},
		{"tinting as first described", 9, 2, 110, 4},
	} {
		for _, noAffinity := range []bool{false, true} {
			t.Run(c.deployment+" noAffinity="+strconv.FormatBool(noAffinity), func(t *testing.T) {
				u := member("i", "west-1", "west")
				u.Capacity = c.capacity
				b := newBalancer(1)
				q := balance.Query{Key: "k", NoAffinity: noAffinity, Candidates: []*upstream.Upstream{u}, Now: time.Now()}
				outstanding := 0
				for {
					_, reason := b.Choose(q)
					if reason != balance.Chosen {
						require.Equal(t, balance.Overloaded, reason)
						break
					}
					outstanding++
				}
				require.Equal(t, c.outstanding, outstanding)
				require.LessOrEqual(t, c.hosts*outstanding, c.maxConnections)
			})
		}
	}
}
