package roster

import "math/bits"

// SlotSet is a set of an upstream's slot numbers, 0 to 63: one bit for each slot
// that the configuration allows.
type SlotSet uint64

// Count is how many slots are in the set.
func (s SlotSet) Count() int { return bits.OnesCount64(uint64(s)) }

// With gives the set with slot n added.
func (s SlotSet) With(n int) SlotSet { return s | 1<<uint(n) }

// And gives the slots that are in both sets.
func (s SlotSet) And(o SlotSet) SlotSet { return s & o }
