package requestbody

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// smallBody is the maximum size of a small body in bytes.
	smallBody = 64 << 10
	// smallReserve is the divisor of the limit for the part that only small bodies use.
	smallReserve = 4
	// A body arrives too slowly if its rate is below minRate, in bytes per second, or nothing of
	// it arrives, each for longer than slowAfter.
	minRate   = 16 << 10
	slowAfter = 500 * time.Millisecond
)

var (
	// ErrFull reports that the bodies in memory leave no room for the body.
	ErrFull = eris.New("the bodies in memory leave no room")
	// ErrTooLarge reports that the body exceeds its own limit.
	ErrTooLarge = eris.New("the body exceeds its limit")
)

// Buffers accounts for the memory of all bodies of a host. It is safe for concurrent use.
type Buffers struct {
	limit int64

	mu sync.Mutex
	// held is the size of all bodies in memory.
	held int64
	// arriving are the bodies that are being read.
	arriving map[*Body]struct{}
}

// NewBuffers returns buffers for bodies of a total size in bytes.
func NewBuffers(limit int64) *Buffers {
	return &Buffers{limit: limit, arriving: map[*Body]struct{}{}}
}

// Held returns the total size of the bodies in memory, in bytes.
func (b *Buffers) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Hold accounts for a body that is in memory already, for which the caller calls
// Body.Release. The error is ErrFull if there is no room.
func (b *Buffers) Hold(body []byte) (*Body, error) {
	out := &Body{buffers: b, Segments: [][]byte{body}}
	if !b.reserve(out, int64(len(body))) {
		return nil, ErrFull
	}
	return out, nil
}

// begin starts the reading of a body. It returns false if there is no room for its declared
// length, so that the body is refused before it is read.
func (b *Buffers) begin(body *Body) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if length := body.source.Length; length > 0 && !b.makeRoom(body, length, slowBodies) {
		return false
	}
	b.arriving[body] = struct{}{}
	return true
}

// end ends the reading of a body and reports whether its memory was needed for others.
func (b *Buffers) end(body *Body) (evicted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.arriving, body)
	return body.evicted
}

// received records how many bytes of a body were read.
func (b *Buffers) received(body *Body, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	body.received, body.receivedAt = n, time.Now()
}

// reserve sets the memory that is accounted for a body. It reports whether there is room.
func (b *Buffers) reserve(body *Body, size int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if body.evicted || !b.makeRoom(body, size, youngerBodies) {
		return false
	}
	b.held += size - body.reserved
	body.reserved = size
	return true
}

// makeRoom turns bodies away that victims selects until the body may have a size. It reports
// whether it may; b.mu is held.
func (b *Buffers) makeRoom(body *Body, size int64, victims func(body, other *Body, now time.Time) bool) bool {
	now := time.Now()
	for {
		others := b.held - body.reserved
		if others <= 0 || others+size <= b.limitOf(size) {
			return true
		}
		if !b.evictOne(func(other *Body) bool { return victims(body, other, now) }) {
			return false
		}
	}
}

// slowBodies selects bodies that arrive too slowly.
func slowBodies(_, other *Body, now time.Time) bool {
	late := now.Sub(other.began) - time.Duration(other.received)*time.Second/minRate
	return max(late, now.Sub(other.receivedAt)) > slowAfter
}

// youngerBodies selects bodies that arrive too slowly or began after a body. The body that began
// first is thus read to its end, where all together would exceed the limit.
func youngerBodies(body, other *Body, now time.Time) bool {
	return slowBodies(body, other, now) || other.began.After(body.began)
}

// evictOne turns away, of the selected bodies that are being read, the one that began last. It
// returns false if there is none; b.mu is held.
func (b *Buffers) evictOne(selected func(*Body) bool) bool {
	var victim *Body
	for body := range b.arriving {
		if body.reserved > 0 && selected(body) && (victim == nil || body.began.After(victim.began)) {
			victim = body
		}
	}
	if victim == nil {
		return false
	}
	delete(b.arriving, victim)
	b.held -= victim.reserved
	victim.reserved, victim.evicted = 0, true
	if victim.source.Interrupt != nil {
		victim.source.Interrupt()
	}
	return true
}

// limitOf returns the limit on all bodies that applies to a body of a size.
func (b *Buffers) limitOf(size int64) int64 {
	if size <= smallBody {
		return b.limit
	}
	return b.limit - b.limit/smallReserve
}

// remove ends the account of a body.
func (b *Buffers) remove(body *Body) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= body.reserved
	body.reserved = 0
}
