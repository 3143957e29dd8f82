// Package link keeps the traffic between two regions under the limit of the
// link between them, with a part reserved for interactive traffic.
package link

import (
	"context"
	"math"
	"sync"
	"time"
)

// Class is a class of traffic on a link.
type Class uint8

// The classes of traffic.
const (
	Interactive Class = iota
	Bulk
)

const (
	// burst is how much unused time a link may make up for, and debt how
	// far ahead interactive traffic may go, so that it need not wait for a
	// chunk of bulk. The rate is lowered by as much as both, so that no
	// second ever sees more than the limit.
	burst = 25 * time.Millisecond
	debt  = 25 * time.Millisecond
	// memory is the time over which interactive traffic is averaged.
	memory = 200 * time.Millisecond
)

// Bucket is one host's part of a link. It is a plain state; now is in
// nanoseconds of a monotonic clock.
type Bucket struct {
	rate     float64 // bytes per second
	reserved float64 // part of the rate kept for interactive traffic
	level    float64 // bytes that may be sent now; negative is a debt
	filledAt int64
	// recent is the moving average of interactive bytes per second.
	recent float64
	// bulkLevel is what bulk may send now, within level.
	bulkLevel float64
}

// NewBucket makes a bucket for a limit in bytes per second.
func NewBucket(limit, reserved float64, now int64) *Bucket {
	b := &Bucket{filledAt: now}
	b.Configure(limit, reserved)
	return b
}

// Configure changes the limit.
func (b *Bucket) Configure(limit, reserved float64) {
	b.rate = max(1, limit) / (1 + burst.Seconds() + debt.Seconds())
	b.reserved = reserved
}

// Take asks to send n bytes. It gives zero when they may go now, and else
// how long to wait before asking again. Interactive traffic may use the
// whole rate; bulk gets what interactive leaves, and never the part that is
// reserved while interactive uses it.
func (b *Bucket) Take(class Class, n int, now int64) time.Duration {
	b.fill(now)
	if class == Interactive {
		return b.takeInteractive(float64(n))
	}
	return b.takeBulk(float64(n))
}

func (b *Bucket) fill(now int64) {
	elapsed := float64(now-b.filledAt) / float64(time.Second)
	b.filledAt = now
	most := b.rate * burst.Seconds()
	b.level = math.Min(most, b.level+b.rate*elapsed)
	b.recent *= math.Exp(-elapsed / memory.Seconds())
	b.bulkLevel = math.Min(most, b.bulkLevel+b.bulkRate()*elapsed)
}

// bulkRate is what interactive traffic leaves: once interactive is there,
// it keeps as much headroom again, up to its reserved part.
func (b *Bucket) bulkRate() float64 {
	headroom := math.Min(b.recent, b.rate*b.reserved)
	return math.Max(0, b.rate-b.recent-headroom*headroomPart)
}

// headroomPart is the slack that interactive traffic keeps beside itself,
// so that its next burst finds room.
const headroomPart = 0.05

func (b *Bucket) takeInteractive(n float64) time.Duration {
	if lowest := -b.rate * debt.Seconds(); b.level <= lowest {
		return b.after(lowest - b.level + 1)
	}
	b.level -= n
	b.recent += n / memory.Seconds()
	return 0
}

func (b *Bucket) takeBulk(n float64) time.Duration {
	if b.level <= 0 {
		return b.after(-b.level + 1)
	}
	if b.bulkLevel <= 0 {
		return time.Duration((1 - b.bulkLevel) / math.Max(b.bulkRate(), b.rate/100) * float64(time.Second))
	}
	b.level -= n
	b.bulkLevel -= n
	return 0
}

func (b *Bucket) after(bytes float64) time.Duration {
	return time.Duration(bytes / b.rate * float64(time.Second))
}

// Pacer is a bucket that many goroutines share.
type Pacer struct {
	mu     sync.Mutex
	bucket *Bucket
	start  time.Time
	sent   [2]int64
	// waited says that something had to wait since the last Demand, which
	// was asked at askedAt, when sentThen bytes had been sent.
	waited   bool
	askedAt  time.Duration
	sentThen int64
}

// NewPacer makes a pacer for a limit in bytes per second.
func NewPacer(limit, reserved float64) *Pacer {
	return &Pacer{bucket: NewBucket(limit, reserved, 0), start: time.Now()}
}

// Configure changes the limit.
func (p *Pacer) Configure(limit, reserved float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bucket.Configure(limit, reserved)
}

// Chunk is the most bytes to send at once.
const Chunk = 16 << 10

// chunkTime is how long one chunk may hold the link.
const chunkTime = 4 * time.Millisecond

// Chunk gives the bytes to send at once on this link.
func (p *Pacer) Chunk() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(1<<10, min(Chunk, int(p.bucket.rate*chunkTime.Seconds())))
}

// Wait returns when n bytes of a class may be sent, or with ctx's error.
func (p *Pacer) Wait(ctx context.Context, class Class, n int) error {
	for {
		d := p.take(class, n)
		if d == 0 {
			return nil
		}
		timer := time.NewTimer(d)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
	}
}

func (p *Pacer) take(class Class, n int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.bucket.Take(class, n, int64(time.Since(p.start)))
	if d == 0 {
		p.sent[class] += int64(n)
	} else {
		p.waited = true
	}
	return d
}

// Demand gives the bytes per second sent since it was last asked, and
// whether more would have been sent at a higher rate.
func (p *Pacer) Demand() (used float64, more bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Since(p.start)
	total := p.sent[Interactive] + p.sent[Bulk]
	if elapsed := (now - p.askedAt).Seconds(); elapsed > 0 {
		used = float64(total-p.sentThen) / elapsed
	}
	more = p.waited
	p.waited, p.askedAt, p.sentThen = false, now, total
	return used, more
}

// Sent gives the bytes let through so far, by class.
func (p *Pacer) Sent(class Class) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sent[class]
}
