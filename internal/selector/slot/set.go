// Package slot hands out the right to have a request outstanding at an
// upstream. A host only ever uses the slots it holds, so that no upstream
// sees more requests than it has slots.
package slot

import "math/bits"

// MaxIdle is how many idle connections to one upstream are worth keeping:
// never more than it can have slots.
const MaxIdle = 64

// Set is a set of an upstream's slot numbers, 0 to 63.
type Set uint64

// Count is how many slots are in the set.
func (s Set) Count() int { return bits.OnesCount64(uint64(s)) }

// With gives the set with slot n added.
func (s Set) With(n int) Set { return s | 1<<uint(n) }

// And gives the slots that are in both sets.
func (s Set) And(o Set) Set { return s & o }
