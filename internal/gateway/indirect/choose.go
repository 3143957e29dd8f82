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

// Choose returns up to n hosts in the order in which to ask them. The nearest hosts with enough
// room for the sender's requests together come first, in a random order that gives each a
// share of the requests in proportion to its room. The others follow in the same way. Hosts
// without room are left out.
func Choose(hosts []Host, s Sender, n int) []Host {
	var chosen []Host
	var near []*Host
	room := 0
	for _, tier := range tiers(hosts, s) {
		near = append(near, tier...)
		room += totalRoom(tier)
		if room >= roomFactor*s.Rate {
			chosen = append(chosen, draw(near, n-len(chosen))...)
			near, room = nil, 0
		}
	}
	return append(chosen, draw(near, n-len(chosen))...)
}

// tiers returns the hosts with room in the sender's zone, in the rest of its region, and in
// other regions.
func tiers(hosts []Host, s Sender) [3][]*Host {
	var tiers [3][]*Host
	for i := range hosts {
		h := &hosts[i]
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

func totalRoom(hosts []*Host) int {
	total := 0
	for _, h := range hosts {
		total += h.Room
	}
	return total
}

// draw returns up to n different hosts. The probability of each next host is in proportion to
// its room. It reorders hosts.
func draw(hosts []*Host, n int) []Host {
	var drawn []Host
	total := totalRoom(hosts)
	for i := range min(n, len(hosts)) {
		left := rand.IntN(total)
		next := i
		for ; left >= hosts[next].Room; next++ {
			left -= hosts[next].Room
		}
		total -= hosts[next].Room
		drawn = append(drawn, *hosts[next])
		hosts[i], hosts[next] = hosts[next], hosts[i]
	}
	return drawn
}
