package quota

import (
	"cmp"
	"slices"
	"time"

	"cairndock/internal/gateway/rendezvous"
)

// Zone is an availability zone with the names of its known hosts, those that are dead or
// cut off included. Large are those that clients are given first.
type Zone struct {
	Name, Region string
	Large, Small []string
}

// Layout is the zones of a deployment. Zones come from the settings, so that all hosts
// have the same ones, also while they don't know each other: what a zone's hosts hold
// depends on nothing outside the zone. A Layout is not changed once it is in use.
type Layout struct {
	Zones []Zone
}

// Place is what a host knows of its own part in the limits.
type Place struct {
	Layout *Layout
	// Holds is set while this host holds the shards that the layout gives it. A host that
	// can't be sure that no other holds them too holds none.
	Holds bool
	// Since is from when on it holds them.
	Since time.Time
}

// Holder is a host that holds shards of an account.
type Holder struct {
	Host, Zone, Region string
	Shards             int
}

// zoneShards gives how many of an account's shards each zone has, in the order of
// Layout.Zones. An account with fewer shards than there are zones has them in the first
// of its own order of zones.
func (l *Layout) zoneShards(account string, shards int) []int {
	order := make([]int, len(l.Zones))
	ranks := make([]uint64, len(l.Zones))
	for i, z := range l.Zones {
		order[i], ranks[i] = i, rendezvous.Rank(z.Name, account)
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(ranks[a], ranks[b]) })
	counts := make([]int, len(l.Zones))
	for place, zone := range order {
		counts[zone] = shards / len(l.Zones)
		if place < shards%len(l.Zones) {
			counts[zone]++
		}
	}
	return counts
}

// holders gives the hosts of a zone that hold a number of an account's shards. Shards of a
// zone without a known host are held by nobody: no other zone can know that.
func (z Zone) holders(account string, shards int) []Holder {
	large, small := ranked(z.Large, account), ranked(z.Small, account)
	var out []Holder
	for shard := range shards {
		hosts, place := large, shard-shard/shardsPerZone
		if shard%shardsPerZone == shardsPerZone-1 {
			hosts, place = small, shard/shardsPerZone
		}
		if len(hosts) == 0 {
			hosts, place = slices.Concat(large, small), shard
		}
		if len(hosts) == 0 {
			return nil
		}
		out = addShard(out, Holder{Host: hosts[place%len(hosts)], Zone: z.Name, Region: z.Region})
	}
	return out
}

// addShard adds a shard to the holder, which may have some already.
func addShard(holders []Holder, h Holder) []Holder {
	i := slices.IndexFunc(holders, func(o Holder) bool { return o.Host == h.Host })
	if i < 0 {
		i, holders = len(holders), append(holders, h)
	}
	holders[i].Shards++
	return holders
}

// ranked returns hosts in the order of an account.
func ranked(hosts []string, account string) []string {
	if len(hosts) < 2 {
		return hosts
	}
	ranks := make(map[string]uint64, len(hosts))
	for _, h := range hosts {
		ranks[h] = rendezvous.Rank(h, account)
	}
	out := slices.Clone(hosts)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(ranks[a], ranks[b]), cmp.Compare(a, b))
	})
	return out
}

// held gives how many of an account's shards a host of a zone holds.
func (l *Layout) held(account, host, zone string, shards int) int {
	i := slices.IndexFunc(l.Zones, func(z Zone) bool { return z.Name == zone })
	if i < 0 {
		return 0
	}
	for _, h := range l.Zones[i].holders(account, l.zoneShards(account, shards)[i]) {
		if h.Host == host {
			return h.Shards
		}
	}
	return 0
}

// others gives the holders of an account's shards besides a host, those of its zone first,
// then those of its region, then the others. Each host has an order of its own within
// these, so that not all ask the same one.
func (l *Layout) others(account, host, zone, region string, shards int) []Holder {
	var out []Holder
	counts := l.zoneShards(account, shards)
	for i, z := range l.Zones {
		for _, h := range z.holders(account, counts[i]) {
			if h.Host != host {
				out = append(out, h)
			}
		}
	}
	distance := func(h Holder) int {
		switch {
		case h.Zone == zone:
			return 0
		case h.Region == region:
			return 1
		default:
			return 2
		}
	}
	slices.SortStableFunc(out, func(a, b Holder) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(rendezvous.Rank(a.Host, host), rendezvous.Rank(b.Host, host)))
	})
	return out
}
