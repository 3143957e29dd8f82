package roster

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the hosts in the order of rendezvous hashing (highest random weight) on
// a key. Every process computes the same order, and adding or removing a host does not
// change the order of the other hosts.
func Rank(key string, hosts []string) []string {
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(key, b), weight(key, a)), strings.Compare(a, b))
	})
	return ranked
}

// weight returns a host's weight for a key. Hosts of all versions must compute the same
// weight.
func weight(key, host string) uint64 { return xxhash.Sum64String(key + "\x00" + host) }

// owner returns the first host in the order of Rank, or "" without hosts. It does not
// allocate.
func owner(key string, hosts []string) string {
	best, bestWeight := "", uint64(0)
	for _, h := range hosts {
		w := weight(key, h)
		if best == "" || w > bestWeight || (w == bestWeight && h < best) {
			best, bestWeight = h, w
		}
	}
	return best
}
