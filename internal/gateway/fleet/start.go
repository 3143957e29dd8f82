package fleet

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Hosts start together, by the hundred, when a deployment starts, after a loss of
// power and at many kills. Were each to read all lists and tables from the store, 295
// hosts would make 2,650 calls in a second, and 5,900 could not be served in less than
// a minute. So the first hosts of each region read from the store, and the others from
// them.
const (
	// storeReaderCount is how many hosts of a region read all from the store at their
	// start, by rank: these are the large ones, which clients are given first.
	storeReaderCount = firstHostCount
	// peerStartTimeout is how long the others wait for a peer that has the tables
	// before they read them from the store themselves. It covers the way of a table
	// through three levels of relays, and is below the seconds after which a host that
	// is not ready is missed.
	peerStartTimeout = 2 * time.Second
	// restoredListDelay is how long the others wait for a relay once they find the store in
	// a later era. With the longest pause of a fallback before it, it is below the 4 s after
	// the store's return from which on the platform holds a host to its bounds.
	restoredListDelay = time.Second
	// maxOtherListsDelay is within which time the others read the lists of hosts of
	// other regions, each at a moment of its own. Until then they take no part in
	// warming up the upstreams of a region that has no live host: the lists are
	// read each listInterval from then on.
	maxOtherListsDelay = 5 * time.Minute
)

// startsFromPeers reports whether this host, which has not read the tables yet, is to
// read them from peers. While it does not know its place, it waits at the first start
// of a deployment, when no clients are there yet; later it does not.
func (m *members) startsFromPeers(firstStart, discoveryComplete bool, now time.Time) bool {
	if now.Sub(m.started) >= peerStartTimeout {
		return false
	}
	if m.lists[m.self.Region].IsZero() && !discoveryComplete {
		return firstStart
	}
	return m.rank() >= storeReaderCount
}

// listDelay is how long this host waits for a relay before it lists a store that was found
// in a later era: all hosts find that at the same time.
func (m *members) listDelay(root bool) time.Duration {
	if root || m.rank() < storeReaderCount {
		return 0
	}
	return restoredListDelay
}

// place is this host's place among the known hosts of its region by rank, from 0.
func (m *members) rank() int {
	return slices.Index(m.indexed().byRank, m.self.Name)
}

// otherListsDelay is how long a host that has read the list of its own region waits
// until it reads those of the others.
func (f *Fleet) otherListsDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.members.rank() < storeReaderCount {
		return 0
	}
	return rand.N(maxOtherListsDelay)
}
