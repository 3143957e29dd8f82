package proxy

import (
	"sync"
	"time"
)

const (
	// arrivalSlot is the length of the slots in which arrivals are counted.
	arrivalSlot = 500 * time.Millisecond
	// arrivalSlots is how many whole slots a rate is of: two seconds, long enough that
	// a few requests more are no change, and no longer than clients keep a response of
	// the directory.
	arrivalSlots = 4
)

// arrivals counts the requests that clients send. The zero value has none; its
// methods may be called concurrently.
type arrivals struct {
	mu sync.Mutex
	// counts has the number of each slot in a ring, and current the slot that is
	// being counted, in slots since the Unix epoch.
	counts  [arrivalSlots + 1]int
	current int64
}

// add counts a request that arrives now.
func (a *arrivals) add(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	a.counts[a.current%int64(len(a.counts))]++
}

// rate is the requests a second of the last whole slots.
func (a *arrivals) rate(now time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	sum := -a.counts[a.current%int64(len(a.counts))]
	for _, n := range a.counts {
		sum += n
	}
	return int(float64(sum) / (arrivalSlots * arrivalSlot).Seconds())
}

// advance begins the slot of a time, and empties those that have passed since the
// last one; after a step of the clock all of them.
func (a *arrivals) advance(now time.Time) {
	slot := now.UnixNano() / int64(arrivalSlot)
	if slot < a.current || slot-a.current >= int64(len(a.counts)) {
		clear(a.counts[:])
		a.current = slot
		return
	}
	for a.current < slot {
		a.current++
		a.counts[a.current%int64(len(a.counts))] = 0
	}
}
