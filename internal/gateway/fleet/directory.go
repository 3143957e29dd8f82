package fleet

import "time"

// clientAddresses is the directory's choice: the addresses of the hosts that
// clients of a zone and region should use. It names the live hosts that accept
// clients
//
//  1. in the client's zone,
//  2. else in its region,
//  3. else in the regions that the client's name allows, in their order,
//  4. else anywhere,
//
// the first of these that has any, this host first and then by name. A client
// therefore leaves its zone only when no host there can serve it. Of these hosts
// it names the large ones alone while they suffice (named). self is this host's
// own status. The result is empty when no host is ready.
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
	// rate is the requests a second that clients send to it.
	rate int
}

// acceptingClients returns those of the named peers that are alive and accept
// clients, preceded by this host, whose status is self, if withSelf.
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
	// minAdvertised is how many hosts clients are given at the least: with one, all
	// clients of a zone would wait for its death to be noticed.
	minAdvertised = 2
	// maxUsedFraction is the part of their capacity that named hosts may be used to by the
	// requests of all hosts. Rates are known a second or two late, and clients keep
	// a response for as long again, so that the load may double before the other
	// hosts are named.
	maxUsedFraction = 0.5
)

// named returns the addresses of the hosts that clients are given: the large ones
// while these are minAdvertised or more, and carry what all hosts get; else all.
//
// Fewer hosts know more. Each host learns by its own requests which upstreams are
// loaded, failing or connected, and its part of an upstream's warm-up rate is of use
// only where requests come; the small hosts' links also delay large responses.
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

// ClientAddresses returns the addresses that clients of a zone and region
// should use, as HOST:PORT. allowed are the regions that the client's name may
// be served from.
func (f *Fleet) ClientAddresses(zone, region string, allowed []string) []string {
	status := f.options.Status()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.clientAddresses(zone, region, status, allowed, time.Now())
}
