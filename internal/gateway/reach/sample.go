package reach

import (
	"math/rand/v2"

	"cairndock/internal/gateway/upstream"
)

const (
	// sampleSize is the number of upstreams that a check connects to first.
	sampleSize = 6
	// confirmationSize is the number of further upstreams that it connects to if it reached
	// none of the first, because these may all have terminated.
	confirmationSize = 18
)

// samples returns two samples of upstreams, each of random upstreams from as many zones as
// possible. They are empty if there are too few upstreams or zones to distinguish the failure
// of these from that of the host's own network.
func samples(upstreams []*upstream.Upstream) (first, confirmation []*upstream.Upstream) {
	order := spread(upstreams)
	if order == nil {
		return nil, nil
	}
	n := min(sampleSize, len(order))
	m := min(n+confirmationSize, len(order))
	return order[:n], order[n:m]
}

// spread returns upstreams in a random order in which the zones alternate, or nil if there
// are too few upstreams or zones.
func spread(upstreams []*upstream.Upstream) []*upstream.Upstream {
	byZone := map[string][]*upstream.Upstream{}
	var zones []string
	for _, i := range rand.Perm(len(upstreams)) {
		u := upstreams[i]
		if byZone[u.Zone] == nil {
			zones = append(zones, u.Zone)
		}
		byZone[u.Zone] = append(byZone[u.Zone], u)
	}
	if len(upstreams) < minUpstreams || len(zones) < minZones {
		return nil
	}
	order := make([]*upstream.Upstream, 0, len(upstreams))
	for round := 0; len(order) < len(upstreams); round++ {
		for _, zone := range zones {
			if list := byZone[zone]; round < len(list) {
				order = append(order, list[round])
			}
		}
	}
	return order
}
