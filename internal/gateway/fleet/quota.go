package fleet

import (
	"math"
	"time"

	"cairndock/internal/gateway/rendezvous"
	"cairndock/internal/gateway/warmup"
)

const (
	// ownRegionPart is the part of a cold upstream's rate that the hosts of
	// its own region share: with otherRegionsPart it must stay at or below
	// 1.
	ownRegionPart = 0.6
	// otherRegionsPart is the part that the hosts of all other regions share.
	// They use it only while they see no live host in the upstream's region.
	// Hosts may differ in whom they see, so both parts may be in use at once.
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
	s := m.sharers(region)
	q := warmup.Quota{Hosts: s.large + s.small, Withheld: m.withheld(region, now)}
	if q.Withheld != warmup.NotWithheld {
		return q
	}
	large := isLarge(m.self.Capacity, s.highest)
	number, hosts := s.split(int(s.part*total), large)
	if number == 0 && !large {
		return q
	}
	before := 0
	if hosts > number {
		before = m.before(upstream, region, s.highest, max(1, number))
	}
	q.Requests = share(number, hosts, before)
	return q
}

// largeHostsPart is the part of a cold upstream's rate that the large hosts share,
// where hosts differ in capacity. Clients are given these alone while they suffice
// (named), and a part that is held by a host without requests is of no use: with a
// rate of 8 split by number over 98 hosts, of which 9 got all requests, less than one
// of the 8 was used. What is left is for the time when the large hosts are gone.
const largeHostsPart = 0.8

// commonPart is this host's part of a limit of all hosts, from 0 to 1. Each region has
// the same part, so that a host need not know those of others, and the large hosts of
// a region have largeHostsPart of that. As with warmUpQuota, the parts of all hosts,
// dead ones included, add up to 1 at most.
func (m *members) commonPart(now time.Time) float64 {
	if m.withdrawn || !m.knows(m.self.Region, now) {
		return 0
	}
	s := m.sharers(m.self.Region)
	forRegion := 1 / float64(max(1, len(m.lists)))
	switch {
	case s.small == 0:
		return forRegion / float64(s.large)
	case isLarge(m.self.Capacity, s.highest):
		return forRegion * largeHostsPart / float64(s.large)
	default:
		return forRegion * (1 - largeHostsPart) / float64(s.small)
	}
}

// sharers are the hosts that share a part of an upstream's rate.
type sharers struct {
	// highest is the capacity of the largest of them.
	highest int
	// large and small are how many of them are large beside it, and how many not.
	large, small int
	// part is the part of the rate that they share.
	part float64
}

// split returns how much of a number of requests the large hosts share, or the small
// ones, and how many hosts these are. At least one is for the large ones.
func (s sharers) split(number int, large bool) (part, hosts int) {
	forLarge := number
	if s.small > 0 {
		forLarge = max(1, int(math.Ceil(largeHostsPart*float64(number))))
	}
	if large {
		return forLarge, s.large
	}
	return max(0, number-forLarge), s.small
}

// withheld says why this host has no share of the rate of a region's upstreams.
func (m *members) withheld(region string, now time.Time) warmup.WithheldReason {
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

// sharers returns the known hosts that share a part of the rate of a region's
// upstreams with this one, itself included. It is asked for each choice, so that the
// hosts are counted once for each change of them.
func (m *members) sharers(region string) sharers {
	x := m.indexed()
	key := region
	if m.self.Region != region {
		key = otherThan + region
	}
	if s, ok := x.sharers[key]; ok {
		return s
	}
	s := m.countSharers(region)
	x.sharers[key] = s
	return s
}

// otherThan precedes a region in the key of the hosts of all others. No region's name
// begins with a space.
const otherThan = " "

func (m *members) countSharers(region string) sharers {
	s := sharers{highest: m.self.Capacity, part: otherRegionsPart}
	if m.self.Region == region {
		s.part = ownRegionPart
	}
	hosts := []Host{m.self}
	for _, p := range m.named(m.sharing(region)) {
		if m.shares(p.host, region) {
			hosts = append(hosts, p.host)
			s.highest = max(s.highest, p.host.Capacity)
		}
	}
	for _, h := range hosts {
		if isLarge(h.Capacity, s.highest) {
			s.large++
		} else {
			s.small++
		}
	}
	return s
}

// sharing returns names that have those of all peers which share the rate of a
// region's upstreams with this host.
func (m *members) sharing(region string) []string {
	if m.self.Region == region {
		return m.indexed().byRegion[region]
	}
	return m.indexed().names
}

// shares reports whether a peer shares the rate of a region's upstreams with this
// host: the hosts of that region do with each other, and so do all others.
func (m *members) shares(h Host, region string) bool {
	return (h.Region == region) == (m.self.Region == region)
}

// before returns how many of the hosts that share with this one, and are large as it
// is or small as it is, precede it in an upstream's order of hosts. It counts no
// further than enough: with 5,900 hosts it took 233 us in the upstream's region to
// count them all, for each choice.
func (m *members) before(upstream, region string, highest, enough int) int {
	own, before := rendezvous.Rank(m.self.Name, upstream), 0
	large := isLarge(m.self.Capacity, highest)
	for _, name := range m.sharing(region) {
		h := m.peers[name].host
		if m.shares(h, region) && isLarge(h.Capacity, highest) == large && rendezvous.Rank(name, upstream) < own {
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
// the rate (a day of faults with 80 hosts, docs/findings.md).
func share(number, hosts, before int) int {
	if hosts <= number {
		return number / hosts
	}
	if before < max(1, number) {
		return 1
	}
	return 0
}

// WarmUpQuota returns this host's share, in requests a second, of the total
// that all hosts together may send a cold upstream of a region.
func (f *Fleet) WarmUpQuota(upstream, region string, total float64) warmup.Quota {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.warmUpQuota(upstream, region, total, time.Now())
}
