package httpserver

import (
	"bytes"
	"runtime"
	"sync/atomic"
)

const (
	// firstHeaderBuffer is the size of the first buffer for a header that does not arrive at
	// once, in bytes.
	firstHeaderBuffer = 4 << 10
	// lookAhead is how much may be read beyond the limit of a header, in bytes: the start of
	// the body or of the next request, and white space that the size of a header does not
	// count.
	lookAhead = 8 << 10
)

// headerConn gives the http.Server the bytes of a header only when the header is complete. A
// header takes a multiple of its size in memory once it is parsed, so one that is not complete,
// too large or without room is not parsed at all.
type headerConn struct {
	*conn
	// collected are bytes that the http.Server has not read yet.
	collected []byte
	// tail are the last bytes that it has read, in which the end of a header may begin.
	tail []byte
	// parsing is set while the connection has an element of Budget.parsing.
	parsing atomic.Bool
}

// Read implements net.Conn.
func (c *headerConn) Read(p []byte) (int, error) {
	if len(c.collected) == 0 {
		c.endParsing()
		n, err := c.conn.Read(p)
		if n == 0 || !c.inHeader() {
			c.keepTail(p[:n])
			return n, err
		}
		if err := c.collect(p[:n]); err != nil {
			c.collected = nil
			return 0, err
		}
	}
	if c.parsing.Load() {
		runtime.Gosched() // other requests go first
	}
	n := copy(p, c.collected)
	c.collected = c.collected[n:]
	if len(c.collected) == 0 {
		c.collected = nil // frees the buffer
	}
	c.keepTail(p[:n])
	return n, nil
}

// collect reads until the header that begins with a part is complete, and accounts for its
// memory. The part is used as long as it is the whole header.
func (c *headerConn) collect(part []byte) error {
	c.collected = part
	limit := c.server.maxHeader()
	end := headerEnd(c.tail, part)
	for end < 0 {
		if len(c.collected) > limit+lookAhead {
			return c.refuse(HeaderTooLarge)
		}
		n, err := c.readMore()
		if err != nil {
			return err
		}
		before := c.collected[:len(c.collected)-n]
		if end = headerEnd(before, c.collected[len(before):]); end >= 0 {
			end += len(before)
		}
	}
	if end > limit+lookAhead {
		return c.refuse(HeaderTooLarge)
	}
	size := connBytes + headerBytes(c.collected[:end])
	if err := c.charge(size); err != nil {
		return err
	}
	if size > smallConnBytes {
		c.server.budget.parsing <- struct{}{}
		c.parsing.Store(true)
	}
	return nil
}

// endParsing records that the http.Server has parsed the header.
func (c *headerConn) endParsing() {
	if c.parsing.Swap(false) {
		<-c.server.budget.parsing
	}
}

// Close implements net.Conn.
func (c *headerConn) Close() error {
	c.endParsing()
	return c.conn.Close()
}

// readMore reads more of a header and returns how many bytes it has read.
func (c *headerConn) readMore() (int, error) {
	size := len(c.collected)
	if size == cap(c.collected) || size < firstHeaderBuffer {
		grown := max(firstHeaderBuffer, 2*size)
		if err := c.charge(connBytes + int64(grown)); err != nil {
			return 0, err
		}
		c.collected = append(make([]byte, 0, grown), c.collected...)
	}
	n, err := c.conn.Read(c.collected[size:cap(c.collected)])
	c.collected = c.collected[:size+n]
	if n > 0 {
		err = nil // reported again by the next read
	}
	return n, err
}

// charge accounts for the memory of the connection. If there is no room, it refuses the request
// and returns the error of the read.
func (c *headerConn) charge(size int64) error {
	if !c.server.budget.charge(c.conn, size) {
		return c.refuse(HeadersFull)
	}
	return nil
}

// headerBytes returns the memory that a header takes when it is parsed, in bytes.
func headerBytes(header []byte) int64 {
	return headerByteFactor*int64(len(header)) + fieldBytes*int64(bytes.Count(header, lineBreak))
}

// maxSeam is the length of the part of a header's end that may be before a read, in bytes.
const maxSeam = 2

// keepTail keeps the end of the bytes that the http.Server has read.
func (c *headerConn) keepTail(p []byte) {
	if len(p) < maxSeam {
		p = append(c.tail[:len(c.tail):len(c.tail)], p...)
	}
	c.tail = append(c.tail[:0], p[max(0, len(p)-maxSeam):]...)
}

var lineBreak = []byte{'\n'}

// headerEnds are the ends of a header: an empty line after the end of a line.
var headerEnds = [...][]byte{[]byte("\n\r\n"), []byte("\n\n")}

// headerEnd returns the offset after the end of a header in the bytes p, which follow others, or
// -1 if it does not end there.
func headerEnd(before, p []byte) int {
	first := -1
	note := func(offset int) {
		if first < 0 || offset < first {
			first = offset
		}
	}
	var space [2 * maxSeam]byte
	seam := append(space[:0], before[max(0, len(before)-maxSeam):]...)
	known := len(seam)
	seam = append(seam, p[:min(len(p), maxSeam)]...)
	for _, end := range headerEnds {
		if i := bytes.Index(seam, end); i >= 0 && i+len(end) > known {
			note(i + len(end) - known)
		}
		if i := bytes.Index(p, end); i >= 0 {
			note(i + len(end))
		}
	}
	return first
}
