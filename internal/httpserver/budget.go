package httpserver

import (
	"sync"
	"time"
)

const (
	// connBytes is the memory of a connection apart from a request, in bytes: its buffers and
	// the stacks of its goroutines.
	connBytes = 10 << 10
	// fieldBytes and headerByteFactor give the memory of a header: so many bytes for each
	// line, and so many times its size. A header is held twice, by the http.Server and in the
	// request to the upstream.
	fieldBytes       = 200
	headerByteFactor = 3
	// smallConnBytes is the maximum memory of a connection with a header of usual size, in
	// bytes, and smallReserve the divisor of the budget for the part that only these use.
	smallConnBytes = connBytes + 30<<10
	smallReserve   = 4
	// maxParsed is how many large headers are parsed at the same time. The others wait, so that
	// they do not take the processor from requests of usual size.
	maxParsed = 2
	// maxClosing is the number of connections that may be ending before new ones wait. It
	// bounds descriptors that are neither free nor accounted for.
	maxClosing = 256
	// victimSamples is how many connections are compared to choose one to close.
	victimSamples = 32
)

// Budget bounds the connections of all servers of a process, and the memory of the headers
// that they hold. When it is used up, connections whose clients keep the host waiting are
// closed for others. It is safe for concurrent use.
type Budget struct {
	bytes int64
	conns int
	// parsing has an element for each large header that is being parsed.
	parsing chan struct{}

	mu   sync.Mutex
	held int64
	// members are the connections that are accounted for, and closing is the number of those
	// that were closed for others and have not ended yet.
	members map[*conn]struct{}
	closing int
	// unreported are connections that were closed for others and not reported yet.
	unreported []*conn
}

// NewBudget returns a budget of an amount of memory in bytes and a number of connections. Zero
// is no bound.
func NewBudget(bytes int64, conns int) *Budget {
	return &Budget{bytes: bytes, conns: conns, parsing: make(chan struct{}, maxParsed), members: map[*conn]struct{}{}}
}

// Usage is the use of a Budget.
type Usage struct {
	// Bytes is the memory, and Conns the number of connections.
	Bytes int64
	Conns int
}

// Usage returns the present use.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Bytes: b.held, Conns: len(b.members)}
}

// add accounts for a new connection and reports whether there is room for it, or another one
// could be closed for it.
func (b *Budget) add(c *conn) bool {
	defer b.reportClosed()
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if b.conns > 0 && len(b.members) >= b.conns && !b.closeLatest(sample(b.members), now) {
		return false
	}
	if s := c.server; s.maxConns > 0 && len(s.members) >= s.maxConns && !b.closeLatest(sample(s.members), now) {
		return false
	}
	if !b.makeRoom(c, connBytes, now) {
		return false
	}
	b.members[c], c.server.members[c] = struct{}{}, struct{}{}
	b.held += connBytes
	c.charged = connBytes
	return true
}

// charge sets the memory that is accounted for a connection, and reports whether there is
// room. The account of a connection that is being closed does not change.
func (b *Budget) charge(c *conn, size int64) bool {
	defer b.reportClosed()
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.members[c]; !ok {
		return true
	}
	if size > c.charged && !b.makeRoom(c, size, time.Now()) {
		return false
	}
	b.held += size - c.charged
	c.charged = size
	return true
}

// remove ends the account of a connection that has ended.
func (b *Budget) remove(c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.counted {
		b.closing--
		c.counted = false
	}
	b.drop(c)
}

// isBehind reports whether so many connections are being closed that new ones must wait.
func (b *Budget) isBehind() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.closing > maxClosing
}

// drop ends the account of a connection; b.mu is held.
func (b *Budget) drop(c *conn) {
	if _, ok := b.members[c]; !ok {
		return
	}
	delete(b.members, c)
	delete(c.server.members, c)
	b.held -= c.charged
	c.charged = 0
}

// makeRoom closes connections until the memory of c may have a size. It reports whether it
// may; b.mu is held.
func (b *Budget) makeRoom(c *conn, size int64, now time.Time) bool {
	for b.bytes > 0 && b.held-c.charged+size > b.limitOf(size) {
		if !b.closeLargest(sample(b.members), c, now) {
			return false
		}
	}
	return true
}

// limitOf returns the limit on all memory that applies to a connection of a size.
func (b *Budget) limitOf(size int64) int64 {
	if size <= smallConnBytes {
		return b.bytes
	}
	return b.bytes - b.bytes/smallReserve
}

// sample returns some connections of a set. A map is iterated from a random entry on.
func sample(conns map[*conn]struct{}) []*conn {
	out := make([]*conn, 0, victimSamples)
	for c := range conns {
		if out = append(out, c); len(out) == victimSamples {
			break
		}
	}
	return out
}

// closeLatest closes the connection that keeps the host waiting for the longest time. It
// returns false if there is none; b.mu is held.
func (b *Budget) closeLatest(conns []*conn, now time.Time) bool {
	var victim *conn
	var most time.Duration
	for _, c := range conns {
		if late := c.lateness(now); late >= minLateness && late > most {
			victim, most = c, late
		}
	}
	return b.closeForOthers(victim, now)
}

// closeLargest closes the connection that holds the most memory for the longest time, other
// than except. It returns false if there is none; b.mu is held.
func (b *Budget) closeLargest(conns []*conn, except *conn, now time.Time) bool {
	var victim *conn
	var most float64
	for _, c := range conns {
		late := c.lateness(now)
		if c == except || late < minLateness {
			continue
		}
		if rank := late.Seconds() * float64(c.charged); rank > most {
			victim, most = c, rank
		}
	}
	return b.closeForOthers(victim, now)
}

// closeForOthers closes a connection, if there is one; b.mu is held.
func (b *Budget) closeForOthers(victim *conn, now time.Time) bool {
	if victim == nil || !victim.evict(now) {
		return false
	}
	b.drop(victim)
	b.closing++
	victim.counted = true
	b.unreported = append(b.unreported, victim)
	return true
}

// reportClosed reports the connections that were closed for others. It does so without the lock,
// because a report may wait for the reader of the log.
func (b *Budget) reportClosed() {
	b.mu.Lock()
	closed := b.unreported
	b.unreported = nil
	b.mu.Unlock()
	for _, c := range closed {
		c.server.evicted(c.RemoteAddr())
	}
}
