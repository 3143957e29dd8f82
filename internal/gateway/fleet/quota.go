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
// result is in the same unit. The rate is split without messages: over all
// known hosts, dead ones included, so that the shares add up to at most total
// whomever each host sees alive.
func (m *members) warmUpQuota(upstream, region string, total float64, now time.Time) warmup.Quota {
	inRegion, part := m.self.Region == region, ownRegionPart
	if !inRegion {
		if m.anyAlive(region, now) {
			return warmup.Quota{}
		}
		part = otherRegionsPart
	}
	hosts, before := 1, 0
	own := pairRank(m.self.Name, upstream)
	for _, p := range m.peers {
		if (p.host.Region == region) != inRegion {
			continue
		}
		hosts++
		if pairRank(p.host.Name, upstream) < own {
			before++
		}
	}
	return warmup.Quota{Requests: share(int(part*total), hosts, before), Hosts: hosts}
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
func pairRank(host, other string) uint64 { return xxhash.Sum64String(host + "/" + other) }

// WarmUpQuota returns this host's share, in requests a second, of the total
// that all hosts together may send a cold upstream of a region.
func (f *Fleet) WarmUpQuota(upstream, region string, total float64) warmup.Quota {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.warmUpQuota(upstream, region, total, time.Now())
}
