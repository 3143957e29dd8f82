package link

import (
	"context"
	"sync"
	"time"

	"cairndock/internal/pause"
)

const (
	// MaxChunk is the maximum chunk size on any link, in bytes.
	MaxChunk = 16 << 10
	// minChunk is the chunk size on the slowest links, in bytes.
	minChunk = 1 << 10
	// chunkTime is the maximum time that one chunk occupies the link. It limits
	// how long interactive traffic waits behind bulk traffic; see maxOverdraft
	// for the measurement.
	chunkTime = 4 * time.Millisecond
)

// Pacer limits the rate at which a host sends over one link. It is safe for
// concurrent use.
type Pacer struct {
	mu     sync.Mutex
	bucket *bucket
	start  time.Time
	sent   [2]int64 // bytes, by class
	// waited reports whether any sender had to wait since the last call of
	// Demand. That call was at demandAt after start, when demandSent bytes had
	// been sent in total.
	waited     bool
	demandAt   time.Duration
	demandSent int64
}

// NewPacer returns a pacer for a limit in bytes per second. reserved is the
// fraction of the limit, 0 to 1, that is reserved for interactive traffic.
func NewPacer(limit, reserved float64) *Pacer {
	return &Pacer{bucket: newBucket(limit, reserved, 0), start: time.Now()}
}

// Configure sets the limit in bytes per second and the reserved fraction, 0 to 1.
func (p *Pacer) Configure(limit, reserved float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bucket.configure(limit, reserved)
}

// Chunk returns the maximum number of bytes to send at once on this link.
func (p *Pacer) Chunk() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(minChunk, min(MaxChunk, int(p.bucket.rate*chunkTime.Seconds())))
}

// Wait blocks until n bytes of a class may be sent. It returns ctx.Err() if ctx
// is done first.
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

// take takes n bytes from the bucket and returns 0, or returns how long to wait
// before the next attempt.
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

// Demand returns the bytes per second sent since the last call of Demand. more
// reports whether any sender had to wait in this time, which means that a higher
// rate would have been used.
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

// Sent returns the number of bytes of a class sent since the pacer was created.
func (p *Pacer) Sent(class Class) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sent[class]
}
