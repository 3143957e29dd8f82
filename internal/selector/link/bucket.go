// Package link limits the traffic from one region to another to the configured
// rate of the link between them, and prioritizes interactive over bulk traffic.
//
// Each host of a region sends within its own share of the link, which is
// enforced by a token bucket with two traffic classes. A Pacer makes the bucket
// safe for use by many goroutines. The shares are even; hosts lend each other
// unused rate through Loans. Package entry/links computes the even shares,
// requests loans from other hosts, and configures each pacer with the share of
// the host and the balance of its loans. docs/design/shares.md has the
// measurements and the alternatives.
package link

import (
	"math"
	"time"
)

// Class is a class of traffic on a link.
type Class uint8

const (
	// Interactive traffic may use the whole rate.
	Interactive Class = iota
	// Bulk traffic gets the rate that interactive traffic does not use.
	Bulk
)

const (
	// burst is the capacity of the bucket, as time at its rate.
	burst = 25 * time.Millisecond
	// maxOverdraft is how far interactive traffic may overdraw the bucket, as
	// time at its rate, to avoid waiting behind a chunk of bulk traffic. On a
	// link of 1 MB/s, interactive traffic waited up to 16.8 ms without
	// maxOverdraft and with chunks of MaxChunk, and up to 0.34 ms with
	// maxOverdraft and chunks of chunkTime.
	maxOverdraft = 25 * time.Millisecond
	// averagingPeriod is the time constant of the moving average of interactive
	// traffic.
	averagingPeriod = 200 * time.Millisecond
	// headroomFraction is the rate reserved for the next burst of interactive
	// traffic, as a fraction of the rate that interactive traffic uses. When
	// interactive traffic used 0, 10, 30 and 60% of the link, bulk traffic used
	// 95, 95, 92 and 86% of the rest with 0.05 and maxOverdraft, and 98, 96, 91
	// and 85% with 0.15 and no maxOverdraft.
	headroomFraction = 0.05
	// minBulkRateDivisor sets the minimum rate that is used to compute the wait
	// of bulk traffic: the bucket's rate divided by minBulkRateDivisor. The
	// minimum bounds the wait while interactive traffic uses the whole rate.
	minBulkRateDivisor = 100
	// minRate is the minimum rate in bytes per second. It replaces lower
	// limits to keep waits finite.
	minRate = 1
)

// bucket is a token bucket for one host's share of a link. It is not safe for
// concurrent use. Parameters named now are nanoseconds of a monotonic clock.
type bucket struct {
	rate     float64 // bytes per second
	reserved float64 // fraction of the rate reserved for interactive traffic, 0 to 1
	level    float64 // bytes that may be sent now; negative if overdrawn
	filledAt int64
	// recent is the moving average of interactive bytes per second.
	recent float64
	// bulkLevel is the number of bytes of bulk traffic that may be sent now,
	// within level.
	bulkLevel float64
}

// newBucket returns a bucket for a limit in bytes per second. reserved is the
// fraction of the limit, 0 to 1, that is reserved for interactive traffic.
func newBucket(limit, reserved float64, now int64) *bucket {
	b := &bucket{filledAt: now}
	b.configure(limit, reserved)
	return b
}

// configure sets the limit and the reserved fraction. The rate is lower than
// the limit by burst and maxOverdraft, to keep the bytes sent in any second
// within the limit.
func (b *bucket) configure(limit, reserved float64) {
	b.rate = max(minRate, limit) / (1 + burst.Seconds() + maxOverdraft.Seconds())
	b.reserved = reserved
}

// take takes n bytes from the bucket and returns 0 if they may be sent now. Else
// it takes nothing and returns how long to wait before the next attempt.
func (b *bucket) take(class Class, n int, now int64) time.Duration {
	b.fill(now)
	if class == Interactive {
		return b.takeInteractive(float64(n))
	}
	return b.takeBulk(float64(n))
}

// fill updates the levels and the average to the time now.
func (b *bucket) fill(now int64) {
	elapsed := float64(now-b.filledAt) / float64(time.Second)
	b.filledAt = now
	capacity := b.rate * burst.Seconds()
	b.level = min(capacity, b.level+b.rate*elapsed)
	b.recent *= math.Exp(-elapsed / averagingPeriod.Seconds())
	b.bulkLevel = min(capacity, b.bulkLevel+b.bulkRate()*elapsed)
}

// bulkRate returns the bytes per second available to bulk traffic: the rate
// minus recent interactive traffic and a headroom for it. The headroom is a
// fraction of recent interactive traffic, which for this purpose is capped at
// the reserved fraction of the rate.
func (b *bucket) bulkRate() float64 {
	headroom := headroomFraction * min(b.recent, b.rate*b.reserved)
	return max(0, b.rate-b.recent-headroom)
}

func (b *bucket) takeInteractive(n float64) time.Duration {
	if minLevel := -b.rate * maxOverdraft.Seconds(); b.level <= minLevel {
		return duration(minLevel-b.level+1, b.rate)
	}
	b.level -= n
	b.recent += n / averagingPeriod.Seconds()
	return 0
}

func (b *bucket) takeBulk(n float64) time.Duration {
	if b.level <= 0 {
		return duration(-b.level+1, b.rate)
	}
	if b.bulkLevel <= 0 {
		return duration(1-b.bulkLevel, max(b.bulkRate(), b.rate/minBulkRateDivisor))
	}
	b.level -= n
	b.bulkLevel -= n
	return 0
}

// duration returns the time to send bytes at a rate in bytes per second.
func duration(bytes, rate float64) time.Duration {
	return time.Duration(bytes / rate * float64(time.Second))
}
