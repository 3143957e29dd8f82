// Package rendezvous orders hosts for a name by rendezvous hashing. All hosts compute the
// same order without communication, and the order differs from name to name. A host that
// joins or leaves does not change the relative order of the others.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Rank returns a host's rank for a name. The host with the lowest rank comes first.
func Rank(host, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a hash never return an error.
	_, _ = d.WriteString(host)
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(name)
	return d.Sum64()
}
