// Package link keeps the traffic from one region to another under the limit of
// the link between them, and lets interactive traffic go before bulk.
//
// Each host of a region sends within a part of its own: a token bucket
// with two classes of traffic, which a Pacer shares between goroutines. The
// parts are even; Loans lets hosts lend each other what they do not use. Package
// entry/links works out the even parts, asks other hosts for loans, and sets each
// pacer to its part and the balance of its loans. docs/design/shares.md has the
// measurements and what was weighed.
package link

import (
	"math"
	"time"
)

// Class is a class of traffic on a link.
type Class uint8

const (
	// Interactive traffic may use the whole rate at once.
	Interactive Class = iota
	// Bulk traffic gets what interactive traffic leaves.
	Bulk
)

const (
	// burst is how much unused time a link may make up for.
	burst = 25 * time.Millisecond
	// debt is how far ahead of its rate interactive traffic may go, so that it
	// need not wait for a chunk of bulk. On 1 MB/s interactive traffic waited
	// up to 16.8 ms without it and with whole chunks, 0.34 ms with it and chunks
	// of chunkTime (commit "Prove rosters, caps, links, verdicts, tickets and
	// frames one by one").
	debt = 25 * time.Millisecond
	// averageOver is the time constant of the moving average of interactive
	// traffic.
	averageOver = 200 * time.Millisecond
	// headroomPart is the room that interactive traffic keeps free for its next
	// burst, as a part of what it uses. With 0.05 and debt, bulk used 95, 95, 92
	// and 86% of what 0, 10, 30 and 60% interactive left, and 98, 96, 91 and 85%
	// with 0.15 and no debt (same commit).
	headroomPart = 0.05
	// leastBulkPart divides the rate into the least rate by which the wait of
	// bulk is worked out while interactive leaves nothing, so that bulk asks
	// again within a bounded time.
	leastBulkPart = 100
	// leastRate, in bytes per second, stands for a limit below it, so that no
	// wait is infinite.
	leastRate = 1
)

// bucket is one host's part of a link. It has no lock; now is in nanoseconds of
// a monotonic clock.
type bucket struct {
	rate     float64 // bytes per second
	reserved float64 // part of the rate kept for interactive traffic, 0 to 1
	level    float64 // bytes that may be sent now; negative is a debt
	filledAt int64
	// recent is the moving average of interactive bytes per second.
	recent float64
	// bulkLevel is how many bytes of bulk may be sent now, within level.
	bulkLevel float64
}

// newBucket makes a bucket for a limit in bytes per second, of which a part, 0 to
// 1, is reserved for interactive traffic.
func newBucket(limit, reserved float64, now int64) *bucket {
	b := &bucket{filledAt: now}
	b.configure(limit, reserved)
	return b
}

// configure changes the limit and the reserved part. The rate is below the limit
// by burst and debt, so that no second sees more than the limit.
func (b *bucket) configure(limit, reserved float64) {
	b.rate = max(leastRate, limit) / (1 + burst.Seconds() + debt.Seconds())
	b.reserved = reserved
}

// take asks to send n bytes. It gives zero when they may be sent now, and counts
// them; else it gives how long to wait before asking again.
func (b *bucket) take(class Class, n int, now int64) time.Duration {
	b.fill(now)
	if class == Interactive {
		return b.takeInteractive(float64(n))
	}
	return b.takeBulk(float64(n))
}

// fill brings the levels and the average up to now.
func (b *bucket) fill(now int64) {
	elapsed := float64(now-b.filledAt) / float64(time.Second)
	b.filledAt = now
	most := b.rate * burst.Seconds()
	b.level = min(most, b.level+b.rate*elapsed)
	b.recent *= math.Exp(-elapsed / averageOver.Seconds())
	b.bulkLevel = min(most, b.bulkLevel+b.bulkRate()*elapsed)
}

// bulkRate is how many bytes per second bulk may use: what recent interactive
// traffic leaves of the rate, less some headroom for it. The headroom is a part
// of what interactive uses, counted up to the part of the rate that is reserved
// for it.
func (b *bucket) bulkRate() float64 {
	headroom := headroomPart * min(b.recent, b.rate*b.reserved)
	return max(0, b.rate-b.recent-headroom)
}

func (b *bucket) takeInteractive(n float64) time.Duration {
	if lowest := -b.rate * debt.Seconds(); b.level <= lowest {
		return duration(lowest-b.level+1, b.rate)
	}
	b.level -= n
	b.recent += n / averageOver.Seconds()
	return 0
}

func (b *bucket) takeBulk(n float64) time.Duration {
	if b.level <= 0 {
		return duration(-b.level+1, b.rate)
	}
	if b.bulkLevel <= 0 {
		return duration(1-b.bulkLevel, max(b.bulkRate(), b.rate/leastBulkPart))
	}
	b.level -= n
	b.bulkLevel -= n
	return 0
}

// duration is how long some bytes take at a rate in bytes per second.
func duration(bytes, rate float64) time.Duration {
	return time.Duration(bytes / rate * float64(time.Second))
}
