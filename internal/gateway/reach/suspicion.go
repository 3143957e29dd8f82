package reach

const (
	// minUpstreams and minZones are the numbers of upstreams, and of availability zones
	// with such upstreams, that must fail before the host suspects its own network. A
	// single upstream or zone may be unavailable to all hosts.
	minUpstreams = 3
	minZones     = 2
)

// suspicion holds the upstreams that have failed since one of them last worked: the zone of
// each by its ID.
type suspicion map[string]string

func (s suspicion) add(upstream, zone string) { s[upstream] = zone }

// warranted reports whether the failures suffice for a check.
func (s suspicion) warranted() bool { return len(s) >= minUpstreams && spansZones(s) }

// spansZones reports whether the upstreams are in at least minZones zones.
func spansZones(zoneOf map[string]string) bool {
	zones := map[string]bool{}
	for _, zone := range zoneOf {
		zones[zone] = true
	}
	return len(zones) >= minZones
}
