package fleet

import "time"

// clientAddresses returns the addresses of the hosts that clients of a zone and region
// should use. It selects from the live hosts that accept clients, and takes the first of
// these groups that is not empty:
//
//  1. hosts in the client's zone,
//  2. hosts in its region,
//  3. hosts in the regions that the client's name allows, in their order,
//  4. all hosts.
//
// This host comes first, the others are sorted by name. A client therefore leaves its
// zone only when no host there can serve it. If the large hosts of the group suffice,
// only these are returned (advertised). self is this host's own status. The result is
// empty when no host is ready.
func (m *members) clientAddresses(zone, region string, self Status, allowed []string, now time.Time) []string {
	x := m.indexed()
	if found := m.acceptingClients(x.byZone[zone], m.self.Zone == zone, self, now); len(found) > 0 {
		return advertised(found)
	}
	if found := m.acceptingClients(x.byRegion[region], m.self.Region == region, self, now); len(found) > 0 {
		return advertised(found)
	}
	var found []entryHost
	for _, r := range allowed {
		found = append(found, m.acceptingClients(x.byRegion[r], m.self.Region == r, self, now)...)
	}
	if len(found) > 0 {
		return advertised(found)
	}
	return advertised(m.acceptingClients(x.names, true, self, now))
}

// entryHost is a host that accepts clients.
type entryHost struct {
	address  string
	capacity int
	// rate is the number of requests per second that clients send to the host.
	rate int
}

// acceptingClients returns those of the given peers that are alive and accept clients.
// If withSelf is set, this host, whose status is self, precedes them.
func (m *members) acceptingClients(names []string, withSelf bool, self Status, now time.Time) []entryHost {
	var hosts []entryHost
	if withSelf && self.acceptsClients() {
		hosts = append(hosts, entryHost{m.self.ClientAddress, m.self.Capacity, self.Rate})
	}
	for _, name := range names {
		if p := m.peers[name]; p.alive(now) && p.status.acceptsClients() {
			hosts = append(hosts, entryHost{p.host.ClientAddress, p.host.Capacity, p.status.Rate})
		}
	}
	return hosts
}

const (
	// minAdvertised is the minimum number of hosts advertised to clients. With a single
	// host, all clients of a zone would wait until its death is noticed.
	minAdvertised = 2
	// maxUsedFraction is the fraction of the advertised hosts' capacity that the
	// requests of all hosts may use. Rates are known with a delay of one or two seconds,
	// and clients cache a response for as long again, so the load may double before the
	// other hosts are advertised.
	maxUsedFraction = 0.5
)

// advertised returns the addresses of the hosts to advertise to clients: only the large
// hosts if there are at least minAdvertised of them and they can handle the requests of
// all hosts; otherwise all hosts.
//
// With fewer hosts, each host has more data. A host learns from its own requests which
// upstreams are loaded, failing or connected, and its share of an upstream's warm-up
// rate is useful only if it gets requests. The links of small hosts also delay large
// responses.
func advertised(hosts []entryHost) []string {
	highest, rate := 0, 0
	for _, h := range hosts {
		highest = max(highest, h.capacity)
		rate += h.rate
	}
	var all, large []string
	capacity := 0
	for _, h := range hosts {
		all = append(all, h.address)
		if isLarge(h.capacity, highest) {
			large = append(large, h.address)
			capacity += h.capacity
		}
	}
	if len(large) < minAdvertised || float64(rate) > maxUsedFraction*float64(capacity) {
		return all
	}
	return large
}

// ClientAddresses returns the addresses that clients of a zone and region should use, as
// HOST:PORT. allowed are the regions that the client's name may be served from.
func (f *Fleet) ClientAddresses(zone, region string, allowed []string) []string {
	status := f.status()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.clientAddresses(zone, region, status, allowed, time.Now())
}
