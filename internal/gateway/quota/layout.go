package quota

import (
	"cmp"
	"slices"
	"time"

	"cairndock/internal/gateway/rendezvous"
)

// Zone is an availability zone with the names of its known hosts, including dead and
// partitioned ones. Clients are directed to the Large hosts first.
type Zone struct {
	Name, Region string
	Large, Small []string
}

// Layout is the list of zones of a deployment. The zones come from the settings, so all
// hosts have the same zones even before they discover each other. The shards that the hosts
// of a zone hold depend on nothing outside the zone. A Layout in use is immutable.
type Layout struct {
	Zones []Zone
}

// Assignment describes which shards a host currently holds.
type Assignment struct {
	Layout *Layout
	// HoldsShards is set while this host holds the shards that the layout assigns to it. A
	// host that cannot rule out another holder of these shards holds none.
	HoldsShards bool
	// HeldSince is the time at which this host began to hold its shards.
	HeldSince time.Time
}

// Holder is a host that holds a number of shards of an account.
type Holder struct {
	Host, Zone, Region string
	Shards             int
}

// zoneShards returns the number of an account's shards in each zone, in the order of
// Layout.Zones. The shards of an account with fewer shards than zones are in the first zones
// of an order that depends on the account.
func (l *Layout) zoneShards(account string, shards int) []int {
	order := make([]int, len(l.Zones))
	ranks := make([]uint64, len(l.Zones))
	for i, z := range l.Zones {
		order[i], ranks[i] = i, rendezvous.Rank(z.Name, account)
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(ranks[a], ranks[b]) })
	counts := make([]int, len(l.Zones))
	for rank, zone := range order {
		counts[zone] = shards / len(l.Zones)
		if rank < shards%len(l.Zones) {
			counts[zone]++
		}
	}
	return counts
}

// holders returns the hosts of a zone that hold the zone's number of an account's shards.
// Nobody holds the shards of a zone without known hosts, because no other zone can determine
// that the zone has none.
func (z Zone) holders(account string, shards int) []Holder {
	large, small := ranked(z.Large, account), ranked(z.Small, account)
	var out []Holder
	for shard := range shards {
		hosts, index := large, shard-shard/shardsPerZone
		if shard%shardsPerZone == shardsPerZone-1 {
			hosts, index = small, shard/shardsPerZone
		}
		if len(hosts) == 0 {
			hosts, index = slices.Concat(large, small), shard
		}
		if len(hosts) == 0 {
			return nil
		}
		out = addShard(out, Holder{Host: hosts[index%len(hosts)], Zone: z.Name, Region: z.Region})
	}
	return out
}

// addShard adds one shard to a holder, which is appended if it has none yet.
func addShard(holders []Holder, h Holder) []Holder {
	i := slices.IndexFunc(holders, func(o Holder) bool { return o.Host == h.Host })
	if i < 0 {
		i, holders = len(holders), append(holders, h)
	}
	holders[i].Shards++
	return holders
}

// ranked returns hosts in an order that depends on the account.
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

// held returns the number of an account's shards that a host of a zone holds.
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

// otherHolders returns the holders of an account's shards except the given host: first the
// holders of its zone, then those of its region, then the others. The order within these
// groups depends on the host, so that not all hosts query the same holder.
func (l *Layout) otherHolders(account, host, zone, region string, shards int) []Holder {
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
