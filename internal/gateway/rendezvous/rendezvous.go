// Package rendezvous orders hosts for a name by rendezvous hashing: every host works out
// the same order without asking, a different one for each name, and a host that comes or
// goes moves nobody else.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Rank is a host's rank for a name; the lowest comes first.
func Rank(host, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// A hash returns no errors.
	_, _ = d.WriteString(host)
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(name)
	return d.Sum64()
}
