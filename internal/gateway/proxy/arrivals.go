package proxy

import (
	"sync"
	"time"
)

const (
	// arrivalBucketLength is the length of the time buckets in which arrivals are
	// counted.
	arrivalBucketLength = 500 * time.Millisecond
	// arrivalBuckets is the number of complete buckets that a rate is averaged over. They
	// span two seconds: long enough that a few additional requests do not change the rate
	// noticeably, and no longer than clients cache a response of the directory.
	arrivalBuckets = 4
)

// arrivals counts client requests. The zero value is ready to use; its methods are safe
// for concurrent use.
type arrivals struct {
	mu sync.Mutex
	// counts is a ring with the number of requests in each bucket. current is the index
	// of the bucket that is being filled, counted from the Unix epoch.
	counts  [arrivalBuckets + 1]int
	current int64
}

// add counts a request that arrives now.
func (a *arrivals) add(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	a.counts[a.current%int64(len(a.counts))]++
}

// rate returns the requests per second over the last complete buckets.
func (a *arrivals) rate(now time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	sum := -a.counts[a.current%int64(len(a.counts))]
	for _, n := range a.counts {
		sum += n
	}
	return int(float64(sum) / (arrivalBuckets * arrivalBucketLength).Seconds())
}

// advance moves to the bucket of the given time and clears the buckets that were skipped.
// If the clock jumps, it clears all buckets.
func (a *arrivals) advance(now time.Time) {
	bucket := now.UnixNano() / int64(arrivalBucketLength)
	if bucket < a.current || bucket-a.current >= int64(len(a.counts)) {
		clear(a.counts[:])
		a.current = bucket
		return
	}
	for a.current < bucket {
		a.current++
		a.counts[a.current%int64(len(a.counts))] = 0
	}
}
