package entry

import (
	"cairndock/internal/selector/member"
)

// RegionHosts counts the hosts that may send on the region's links. A zone
// that has not reported yet counts as large as the own.
func (h *Host) RegionHosts() int {
	v := h.View()
	own := max(1, len(h.currentRoster().Members))
	total := own
	for _, z := range v.Zones() {
		if z.Region != h.region || z.Name == h.self.Zone {
			continue
		}
		hosts := 0
		for _, p := range h.peers.Zone(z.Name) {
			hosts = max(hosts, p.Beat.ZoneHosts)
		}
		if hosts == 0 {
			hosts = own
		}
		total += hosts
	}
	return total
}

// RegionPeers gives at most limit other hosts of the region that answer.
func (h *Host) RegionPeers(limit int) []member.Contact {
	v := h.View()
	var out []member.Contact
	for _, zone := range h.peers.Zones() {
		if v.Region(zone) != h.region {
			continue
		}
		out = append(out, h.peers.Up(zone)...)
	}
	return out[:min(limit, len(out))]
}
