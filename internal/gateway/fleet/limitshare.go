package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cairndock/internal/gateway/notice"
	"cairndock/internal/gateway/rendezvous"
)

// ownRegionLimitFraction is the part of an upstream's limit that the hosts of its own region share:
// nearly all requests to it come from there, and what is held by hosts without requests is
// lost. The others share the rest.
const ownRegionLimitFraction = 0.75

// limitShare is how many of a number of tokens of an upstream's limit are this host's. As
// with warmUpQuota they are split without messages, over all known hosts, dead ones
// included, so that shares add up to the number at most whomever each host sees alive.
// Unlike there a process that has just started has its share at once: it starts without
// tokens. It has none while it does not know who shares them.
func (m *members) limitShare(id, region string, tokens int, now time.Time) int {
	if m.withdrawn || !m.hostsKnown(m.self.Region, now) {
		return 0
	}
	number := m.regionTokens(id, region, tokens)
	if number == 0 {
		return 0
	}
	s := m.sharers(m.self.Region)
	part, hosts := s.split(number, isLarge(m.self.Capacity, s.highest))
	share := part / hosts
	if m.preceding(id, m.self.Region, s.highest, hosts) < part%hosts {
		share++
	}
	return share
}

// regionTokens is how many tokens the hosts of this host's region share.
func (m *members) regionTokens(id, region string, tokens int) int {
	own := int(math.Ceil(ownRegionLimitFraction * float64(tokens)))
	others := make([]string, 0, len(m.lists))
	for r := range m.lists {
		if r != region {
			others = append(others, r)
		}
	}
	switch {
	case len(others) == 0:
		return tokens
	case m.self.Region == region:
		return own
	}
	slices.SortFunc(others, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvous.Rank(a, id), rendezvous.Rank(b, id)), cmp.Compare(a, b))
	})
	rest, place := tokens-own, slices.Index(others, m.self.Region)
	number := rest / len(others)
	if place < rest%len(others) {
		number++
	}
	return number
}

// LimitShare returns this host's share of a number of tokens of an upstream's limit.
func (f *Fleet) LimitShare(id, region string, tokens int) notice.Share {
	f.mu.Lock()
	defer f.mu.Unlock()
	return notice.Share{Tokens: f.members.limitShare(id, region, tokens, time.Now()), Hosts: f.members.size()}
}
