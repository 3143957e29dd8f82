package roster

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Rank orders hosts by rendezvous hashing (highest random weight) on a key: each
// process computes the same order, and a host that comes or goes leaves the
// order of the others as it was.
func Rank(key string, hosts []string) []string {
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(key, b), weight(key, a)), strings.Compare(a, b))
	})
	return ranked
}

// weight is a host's weight for a key. Hosts of all versions must agree on it.
func weight(key, host string) uint64 { return xxhash.Sum64String(key + "\x00" + host) }

// owner gives the host that Rank puts first, without allocating for the others.
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
