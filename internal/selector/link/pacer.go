package link

import (
	"context"
	"sync"
	"time"

	"cairndock/internal/pause"
)

const (
	// MaxChunk is the most bytes to send at once.
	MaxChunk = 16 << 10
	// leastChunk is the most bytes to send at once on the slowest links.
	leastChunk = 1 << 10
	// chunkTime is how long one chunk may hold the link, so that interactive
	// traffic does not wait behind bulk; see debt for the measurement.
	chunkTime = 4 * time.Millisecond
)

// Pacer is a bucket that many goroutines share.
type Pacer struct {
	mu     sync.Mutex
	bucket *bucket
	start  time.Time
	sent   [2]int64 // bytes, by class
	// waited says that something had to wait since the last Demand. That was
	// demandAt after start, when demandSent bytes had been sent.
	waited     bool
	demandAt   time.Duration
	demandSent int64
}

// NewPacer makes a pacer for a limit in bytes per second, of which a part, 0 to
// 1, is reserved for interactive traffic.
func NewPacer(limit, reserved float64) *Pacer {
	return &Pacer{bucket: newBucket(limit, reserved, 0), start: time.Now()}
}

// Configure changes the limit and the reserved part.
func (p *Pacer) Configure(limit, reserved float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bucket.configure(limit, reserved)
}

// Chunk gives the most bytes to send at once on this link.
func (p *Pacer) Chunk() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(leastChunk, min(MaxChunk, int(p.bucket.rate*chunkTime.Seconds())))
}

// Wait waits until n bytes of a class may be sent. Its error is that of ctx.
func (p *Pacer) Wait(ctx context.Context, class Class, n int) error {
	for {
		d := p.take(class, n)
		if d == 0 {
			return nil
		}
		if !pause.For(ctx, d) {
			return ctx.Err()
		}
	}
}

// take asks the bucket to send n bytes now; it gives zero, or how long to wait
// before asking again.
func (p *Pacer) take(class Class, n int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.bucket.take(class, n, int64(time.Since(p.start)))
	if d == 0 {
		p.sent[class] += int64(n)
	} else {
		p.waited = true
	}
	return d
}

// Demand gives the bytes per second sent since the last Demand, and whether
// anything had to wait, so that more would have been sent at a higher rate.
func (p *Pacer) Demand() (used float64, more bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Since(p.start)
	total := p.sent[Interactive] + p.sent[Bulk]
	if elapsed := (now - p.demandAt).Seconds(); elapsed > 0 {
		used = float64(total-p.demandSent) / elapsed
	}
	more = p.waited
	p.waited, p.demandAt, p.demandSent = false, now, total
	return used, more
}

// Sent gives the bytes of a class sent so far.
func (p *Pacer) Sent(class Class) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sent[class]
}
