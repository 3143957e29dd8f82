package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cairndock/internal/gateway/notice"
	"cairndock/internal/gateway/rendezvous"
)

// ownRegionLimitFraction is the fraction of an upstream's limit that the hosts of its
// own region share. Nearly all requests to the upstream come from these hosts, and
// tokens of hosts without requests are not used. The hosts of other regions share the
// remaining tokens.
const ownRegionLimitFraction = 0.75

// limitShare returns how many tokens of an upstream's limit belong to this host. tokens
// is the number for all hosts. As in warmUpQuota, the tokens are split without messages
// over all known hosts, including dead ones, so that the shares add up to at most tokens
// whichever hosts each host sees alive. Unlike in warmUpQuota, a process that has just
// started has its share at once, because it starts without tokens. A host has no share
// while it does not know which hosts share the limit.
func (m *members) limitShare(id, region string, tokens int, now time.Time) int {
	if m.withdrawn || !m.hostsKnown(m.self.Region, now) {
		return 0
	}
	number := m.regionTokens(id, region, tokens)
	if number == 0 {
		return 0
	}
	s := m.sharers(m.self.Region)
	portion, hosts := s.split(number, isLarge(m.self.Capacity, s.highest))
	share := portion / hosts
	if m.preceding(id, m.self.Region, s.highest, hosts) < portion%hosts {
		share++
	}
	return share
}

// regionTokens returns how many of the tokens the hosts of this host's region share.
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
	rest, position := tokens-own, slices.Index(others, m.self.Region)
	number := rest / len(others)
	if position < rest%len(others) {
		number++
	}
	return number
}

// LimitShare returns this host's share of the tokens of an upstream's limit.
func (f *Fleet) LimitShare(id, region string, tokens int) notice.Share {
	f.mu.Lock()
	defer f.mu.Unlock()
	return notice.Share{Tokens: f.members.limitShare(id, region, tokens, time.Now()), Hosts: f.members.size()}
}
