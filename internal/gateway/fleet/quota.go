package fleet

import (
	"math"
	"time"

	"cairndock/internal/gateway/rendezvous"
	"cairndock/internal/gateway/warmup"
)

const (
	// ownRegionRateFraction is the fraction of a cold upstream's rate that the hosts of
	// its own region share. Its sum with otherRegionsRateFraction must not exceed 1.
	ownRegionRateFraction = 0.6
	// otherRegionsRateFraction is the fraction that the hosts of all other regions
	// share. They use it only while they see no live host in the upstream's region. Both
	// fractions may be in use at the same time, because hosts may differ in which hosts
	// they see alive.
	otherRegionsRateFraction = 0.3
)

// warmUpQuota returns this host's share of the rate of a cold (warming-up) upstream.
// total is the number of requests per second that all hosts together may send to the
// upstream. The result has the same unit.
//
// The rate is split without messages over all known hosts, including dead ones, so that
// the shares add up to at most total whichever hosts each host sees alive. The split
// depends on two facts: which hosts share the rate, and which requests were sent
// recently. A process that has just started knows neither, and has no share until it
// knows both. When starting hosts took shares that were based on the hosts they knew and
// on no requests sent, a restart of all nine hosts sent 30 requests where 26 were
// allowed; nine hosts that know no other host would send 87.
func (m *members) warmUpQuota(upstream, region string, total float64, now time.Time) warmup.Quota {
	s := m.sharers(region)
	q := warmup.Quota{Hosts: s.large + s.small, Withheld: m.withheld(region, now)}
	if q.Withheld != warmup.NotWithheld {
		return q
	}
	large := isLarge(m.self.Capacity, s.highest)
	number, hosts := s.split(int(s.fraction*total), large)
	if number == 0 && !large {
		return q
	}
	before := 0
	if hosts > number {
		before = m.preceding(upstream, region, s.highest, max(1, number))
	}
	q.Requests = share(number, hosts, before)
	return q
}

// largeHostsFraction is the fraction of a cold upstream's rate that the large hosts
// share if hosts differ in capacity. Only the large hosts are advertised to clients
// while these suffice (advertised), and the share of a host without requests is not used. When a
// rate of 8 was split evenly over 98 hosts, of which 9 got all requests, less than one
// of the 8 was used. The remaining fraction is for the case that all large hosts fail.
const largeHostsFraction = 0.8

// commonShare returns this host's share of a limit of all hosts, from 0 to 1. Each
// region has the same share, so that a host need not know the hosts of other regions,
// and the large hosts of a region have largeHostsFraction of its share. As in
// warmUpQuota, the shares of all hosts, including dead ones, add up to at most 1.
func (m *members) commonShare(now time.Time) float64 {
	if m.withdrawn || !m.hostsKnown(m.self.Region, now) {
		return 0
	}
	s := m.sharers(m.self.Region)
	forRegion := 1 / float64(max(1, len(m.lists)))
	switch {
	case s.small == 0:
		return forRegion / float64(s.large)
	case isLarge(m.self.Capacity, s.highest):
		return forRegion * largeHostsFraction / float64(s.large)
	default:
		return forRegion * (1 - largeHostsFraction) / float64(s.small)
	}
}

// sharers are the hosts that share a fraction of an upstream's rate.
type sharers struct {
	// highest is the capacity of the largest host.
	highest int
	// large and small are the numbers of large hosts and of other hosts, see isLarge.
	large, small int
	// fraction is the fraction of the rate that the hosts share.
	fraction float64
}

// split returns how many of a number of requests either the large or the small hosts
// share, and how many such hosts there are. At least one request is for the large hosts.
func (s sharers) split(number int, large bool) (portion, hosts int) {
	forLarge := number
	if s.small > 0 {
		forLarge = max(1, int(math.Ceil(largeHostsFraction*float64(number))))
	}
	if large {
		return forLarge, s.large
	}
	return max(0, number-forLarge), s.small
}

// withheld returns the reason why this host has no share of the rate of a region's
// upstreams.
func (m *members) withheld(region string, now time.Time) warmup.WithheldReason {
	inRegion := m.self.Region == region
	switch {
	case !inRegion && m.anyAlive(region, now):
		return warmup.OwnRegion
	case m.withdrawn:
		return warmup.Stopping
	case now.Sub(m.started) < warmup.Window:
		return warmup.Starting
	case inRegion && !m.hostsKnown(region, now), !inRegion && !m.hostsKnownOutside(region, now):
		return warmup.HostsUnknown
	default:
		return warmup.NotWithheld
	}
}

// sharers returns the known hosts that share a fraction of the rate of a region's
// upstreams with this host, including this host. Each choice of an upstream uses the
// result, so the hosts are counted only once after each change of the known hosts.
func (m *members) sharers(region string) sharers {
	x := m.indexed()
	key := region
	if m.self.Region != region {
		key = otherThanPrefix + region
	}
	if s, ok := x.sharers[key]; ok {
		return s
	}
	s := m.countSharers(region)
	x.sharers[key] = s
	return s
}

// otherThanPrefix precedes a region in the key for the hosts of all other regions. No
// region's name begins with a space.
const otherThanPrefix = " "

func (m *members) countSharers(region string) sharers {
	s := sharers{highest: m.self.Capacity, fraction: otherRegionsRateFraction}
	if m.self.Region == region {
		s.fraction = ownRegionRateFraction
	}
	hosts := []Host{m.self}
	for _, p := range m.peersByName(m.candidates(region)) {
		if m.sharesRate(p.host, region) {
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

// candidates returns a list of names that includes all peers that share the rate of a
// region's upstreams with this host.
func (m *members) candidates(region string) []string {
	if m.self.Region == region {
		return m.indexed().byRegion[region]
	}
	return m.indexed().names
}

// sharesRate reports whether a peer shares the rate of a region's upstreams with this
// host. The hosts of that region share one fraction, and all other hosts share another.
func (m *members) sharesRate(h Host, region string) bool {
	return (h.Region == region) == (m.self.Region == region)
}

// preceding returns how many of the hosts that share the rate with this one and are of
// the same size class, large or small, precede it in the upstream's order of hosts. It
// stops counting at the number enough: with 5,900 hosts, counting all hosts of the upstream's
// region took 233 us for each choice.
func (m *members) preceding(upstream, region string, highest, enough int) int {
	own, before := rendezvous.Rank(m.self.Name, upstream), 0
	large := isLarge(m.self.Capacity, highest)
	for _, name := range m.candidates(region) {
		h := m.peers[name].host
		if m.sharesRate(h, region) && isLarge(h.Capacity, highest) == large && rendezvous.Rank(name, upstream) < own {
			before++
		}
		if before == enough {
			break
		}
	}
	return before
}

// share returns the portion of a number for one of several hosts. before is how many of
// the hosts precede it in the upstream's order of hosts. If there are at most as many
// hosts as the number, each host gets the same portion and the remainder is unused. If
// there are more hosts, the first hosts of the order get one each. At least one host
// gets one, because an upstream with a low rate would otherwise never warm up. When
// every host got one, 27 hosts exceeded the rate in a test with faults and 80 hosts
// (docs/findings.md).
func share(number, hosts, before int) int {
	if hosts <= number {
		return number / hosts
	}
	if before < max(1, number) {
		return 1
	}
	return 0
}

// WarmUpQuota returns this host's share, in requests per second, of the total that all
// hosts together may send to a cold upstream of a region.
func (f *Fleet) WarmUpQuota(upstream, region string, total float64) warmup.Quota {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.warmUpQuota(upstream, region, total, time.Now())
}
