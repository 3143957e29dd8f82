package indirect

import "math/rand/v2"

// Host is a host that reaches upstreams.
type Host struct {
	Name, Zone, Region string
	// Address is the host's address for connections of other hosts, as HOST:PORT.
	Address string
	// Room is the number of requests per second that the host can handle in addition to
	// those that it gets.
	Room int
}

// Sender is the location of the host that sends requests, and the requests per second that
// its clients send to it.
type Sender struct {
	Zone, Region string
	Rate         int
}

// roomFactor is how much more room than its own rate a sender looks for, because other hosts
// may have lost their path at the same time and send to the same hosts.
const roomFactor = 2

// Order returns the hosts in the order in which to ask them. The nearest hosts with enough
// room for the sender's requests together come first, in a random order that gives each a
// share of the requests in proportion to its room. The others follow in the same way. Hosts
// without room are left out.
func Order(hosts []Host, s Sender) []Host {
	var order, near []Host
	room := 0
	for _, tier := range tiers(hosts, s) {
		for _, h := range tier {
			near = append(near, h)
			room += h.Room
		}
		if room >= roomFactor*s.Rate {
			order = append(order, shuffle(near)...)
			near, room = nil, 0
		}
	}
	return append(order, shuffle(near)...)
}

// tiers returns the hosts with room in the sender's zone, in the rest of its region, and in
// other regions.
func tiers(hosts []Host, s Sender) [3][]Host {
	var tiers [3][]Host
	for _, h := range hosts {
		distance := 2
		switch {
		case h.Room <= 0:
			continue
		case h.Zone == s.Zone:
			distance = 0
		case h.Region == s.Region:
			distance = 1
		}
		tiers[distance] = append(tiers[distance], h)
	}
	return tiers
}

// shuffle returns the hosts in a random order. The probability of each next host is in
// proportion to its room. It modifies hosts.
func shuffle(hosts []Host) []Host {
	total := 0
	for _, h := range hosts {
		total += h.Room
	}
	for i := range hosts {
		n := rand.IntN(total)
		next := i
		for ; n >= hosts[next].Room; next++ {
			n -= hosts[next].Room
		}
		total -= hosts[next].Room
		hosts[i], hosts[next] = hosts[next], hosts[i]
	}
	return hosts
}
