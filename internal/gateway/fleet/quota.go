package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cairndock/internal/gateway/warmup"
)

const (
	// ownRegionPart is the part of a cold upstream's rate that the hosts of
	// its own region share. Chosen, not measured; with otherRegionsPart it
	// must stay at or below 1.
	ownRegionPart = 0.6
	// otherRegionsPart is the part that the hosts of all other regions share.
	// They use it only while they see no live host in the upstream's region.
	// Hosts may differ in whom they see, so both parts may be in use at once.
	// Chosen, not measured.
	otherRegionsPart = 0.3
)

// warmUpQuota is this host's share of a cold (warming-up) upstream's rate.
// total is what all hosts together may send it, in requests a second; the
// result is in the same unit.
//
// The rate is split without messages: over all known hosts, dead ones included,
// so that the shares add up to at most total whomever each host sees alive. That
// rests on two beliefs, who shares the rate and what was sent lately, which a
// process that has just started lacks: it has no share until it has both. With a
// share of what it knew and nothing sent, a restart of all nine hosts sent 30 of
// 26 requests, and nine hosts that know nobody would send 87.
func (m *members) warmUpQuota(upstream, region string, total float64, now time.Time) warmup.Quota {
	hosts, part := m.sharers(region)
	q := warmup.Quota{Hosts: hosts, Withheld: m.withheld(region, now)}
	if q.Withheld != warmup.NotWithheld {
		return q
	}
	number, before := int(part*total), 0
	if hosts > number {
		before = m.before(upstream, region, max(1, number))
	}
	q.Requests = share(number, hosts, before)
	return q
}

// withheld says why this host has no share of the rate of a region's upstreams.
func (m *members) withheld(region string, now time.Time) warmup.Withheld {
	inRegion := m.self.Region == region
	switch {
	case !inRegion && m.anyAlive(region, now):
		return warmup.OwnRegion
	case m.withdrawn:
		return warmup.Stopping
	case now.Sub(m.started) < warmup.Window:
		return warmup.Starting
	case inRegion && !m.knows(region, now), !inRegion && !m.knowsOthersThan(region, now):
		return warmup.HostsUnknown
	default:
		return warmup.NotWithheld
	}
}

// sharers returns how many known hosts share a part of the rate of a region's
// upstreams with this one, itself included, and that part.
func (m *members) sharers(region string) (hosts int, part float64) {
	there := len(m.indexed().byRegion[region])
	if m.self.Region == region {
		return 1 + there, ownRegionPart
	}
	return m.size() - there, otherRegionsPart
}

// before returns how many of the hosts that share with this one precede it in an
// upstream's order of hosts, and counts no further than enough: with 5,900 hosts it
// took 233 us in the upstream's region to count them all, for each choice.
func (m *members) before(upstream, region string, enough int) int {
	x, own, before := m.indexed(), pairRank(m.self.Name, upstream), 0
	inRegion, names := m.self.Region == region, x.names
	if inRegion {
		names = x.byRegion[region]
	}
	for _, name := range names {
		shares := inRegion || m.peers[name].host.Region != region
		if shares && pairRank(name, upstream) < own {
			before++
		}
		if before == enough {
			break
		}
	}
	return before
}

// share is the part of a number for one of some hosts; before is how many of
// them precede it in the upstream's order of hosts. With at least as many as
// hosts, each gets the same and the rest is unused. With fewer, the first of
// the order get one each, and always at least one host does: else an upstream
// with a low rate would never warm up. With one each for all, 27 hosts exceeded
// the rate (trouble-1 at 80 hosts, docs/findings.md).
func share(number, hosts, before int) int {
	if hosts <= number {
		return number / hosts
	}
	if before < max(1, number) {
		return 1
	}
	return 0
}

// pairRank orders hosts differently for each second name, by rendezvous
// hashing.
func pairRank(host, other string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// A hash returns no errors.
	_, _ = d.WriteString(host)
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(other)
	return d.Sum64()
}

// WarmUpQuota returns this host's share, in requests a second, of the total
// that all hosts together may send a cold upstream of a region.
func (f *Fleet) WarmUpQuota(upstream, region string, total float64) warmup.Quota {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.warmUpQuota(upstream, region, total, time.Now())
}
