package fleet

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Hundreds of hosts start at the same time when a deployment starts, after a power
// failure, and when many hosts are killed. If each of them read all lists and tables
// from the store, 295 hosts would make 2,650 calls in a second, and 5,900 hosts could
// not be served in less than a minute. Only the first hosts of each region therefore
// read from the store, and the others read from them.
const (
	// storeReaderCount is how many hosts of a region read all data from the store at
	// their start, in the order of rank. These are the large hosts, which are
	// advertised to clients first.
	storeReaderCount = firstHostCount
	// peerStartTimeout is how long the other hosts wait for a peer that has the tables
	// before they read them from the store. It is enough for a table to pass through
	// three levels of relays, and is shorter than the few seconds after which a host
	// that is not ready is missed.
	peerStartTimeout = 2 * time.Second
	// restoredListDelay is how long the other hosts wait for a relay after they have
	// found the store in a later era. Together with the longest pause of a fallback
	// before it, it is below 4 s, the time after the store's return from which on the
	// platform expects hosts to meet their bounds again.
	restoredListDelay = time.Second
	// maxOtherListsDelay bounds the random delay after which the other hosts read the
	// lists of other regions. Until then they have no share in warming up the upstreams
	// of a region that has no live host. After that, the lists are read every
	// listInterval.
	maxOtherListsDelay = 5 * time.Minute
)

// startsFromPeers reports whether this host, which has not read the tables yet, should
// read them from peers. While the host does not know its rank, it waits only at the
// first start of a deployment, when there are no clients yet.
func (m *members) startsFromPeers(firstStart, discoveryComplete bool, now time.Time) bool {
	if now.Sub(m.started) >= peerStartTimeout {
		return false
	}
	if m.lists[m.self.Region].IsZero() && !discoveryComplete {
		return firstStart
	}
	return m.rank() >= storeReaderCount
}

// listDelay returns how long this host waits for a relay before it lists a store that
// was found in a later era. The delay exists because all hosts find this at the same
// time.
func (m *members) listDelay(root bool) time.Duration {
	if root || m.rank() < storeReaderCount {
		return 0
	}
	return restoredListDelay
}

// rank returns the index of this host among the known hosts of its region, sorted by
// rank.
func (m *members) rank() int {
	return slices.Index(m.indexed().byRank, m.self.Name)
}

// otherListsDelay returns how long a host that has read the list of its own region waits
// until it reads the lists of other regions.
func (f *Fleet) otherListsDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.members.rank() < storeReaderCount {
		return 0
	}
	return rand.N(maxOtherListsDelay)
}
