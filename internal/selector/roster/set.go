package roster

import "math/bits"

// SlotSet is a set of slot numbers of an upstream, from 0 to 63. It has one bit for each
// slot that the configuration allows.
type SlotSet uint64

// Count returns the number of slots in the set.
func (s SlotSet) Count() int { return bits.OnesCount64(uint64(s)) }

// With returns the set with slot n added.
func (s SlotSet) With(n int) SlotSet { return s | 1<<uint(n) }

// And returns the slots that are in both sets.
func (s SlotSet) And(o SlotSet) SlotSet { return s & o }
