package reach

import (
	"math/rand/v2"

	"cairndock/internal/gateway/upstream"
)

// sampleSize is the number of upstreams that a check connects to.
const sampleSize = 6

// sample returns random upstreams from as many zones as possible. It is empty if there are
// too few upstreams or zones to distinguish the failure of these from that of the host's own
// network.
func sample(upstreams []*upstream.Upstream) []*upstream.Upstream {
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
	var chosen []*upstream.Upstream
	for round := 0; len(chosen) < min(sampleSize, len(upstreams)); round++ {
		for _, zone := range zones {
			if list := byZone[zone]; round < len(list) && len(chosen) < sampleSize {
				chosen = append(chosen, list[round])
			}
		}
	}
	return chosen
}
