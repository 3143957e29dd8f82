package slot

import "math/bits"

// MaxIdle is how many idle connections to one upstream are worth keeping, the
// most slots that an upstream can have (config.MaxSlots).
const MaxIdle = 64

// Set is a set of an upstream's slot numbers, 0 to 63: one bit for each slot
// that the configuration allows (config.MaxSlots).
type Set uint64

// Count is how many slots are in the set.
func (s Set) Count() int { return bits.OnesCount64(uint64(s)) }

// With gives the set with slot n added.
func (s Set) With(n int) Set { return s | 1<<uint(n) }

// And gives the slots that are in both sets.
func (s Set) And(o Set) Set { return s & o }
