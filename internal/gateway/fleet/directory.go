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
// therefore leaves its zone only when no host there can serve it. self is this
// host's own status. The result is empty when no host is ready.
func (m *members) clientAddresses(zone, region string, self Status, allowed []string, now time.Time) []string {
	x, selfAccepts := m.indexed(), self.acceptsClients()
	if found := m.acceptingClients(x.byZone[zone], selfAccepts && m.self.Zone == zone, now); len(found) > 0 {
		return found
	}
	if found := m.acceptingClients(x.byRegion[region], selfAccepts && m.self.Region == region, now); len(found) > 0 {
		return found
	}
	var found []string
	for _, r := range allowed {
		found = append(found, m.acceptingClients(x.byRegion[r], selfAccepts && m.self.Region == r, now)...)
	}
	if len(found) > 0 {
		return found
	}
	return m.acceptingClients(x.names, selfAccepts, now)
}

// acceptingClients returns the client addresses of those of the named peers
// that are alive and accept clients, preceded by this host's own if withSelf.
func (m *members) acceptingClients(names []string, withSelf bool, now time.Time) []string {
	var addresses []string
	if withSelf {
		addresses = append(addresses, m.self.ClientAddress)
	}
	for _, name := range names {
		if p := m.peers[name]; p.alive(now) && p.status.acceptsClients() {
			addresses = append(addresses, p.host.ClientAddress)
		}
	}
	return addresses
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
