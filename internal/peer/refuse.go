package peer

import "github.com/rotisserie/eris"

const (
	// maxServing and maxServingBytes limit the streams that one connection serves at the same
	// time and the size of their requests. A host that sends its requests through another one
	// has some hundreds of streams open, with requests of some KB.
	maxServing      = 8192
	maxServingBytes = 32 << 20
	// maxRefused limits the refusals that wait to be written. The opener of any other stream
	// waits until its own timeout.
	maxRefused = 1024
)

// errTooManyStreams reports that a peer has opened more streams than are served at once.
var errTooManyStreams = eris.Errorf("open streams exceed the limit of %d or of %d bytes", maxServing, maxServingBytes)

// refuse ends a stream that the peer opened without serving it. It does not block; c.mu is held.
func (c *conn) refuse(id uint64) {
	if len(c.refused) < maxRefused {
		c.refused = append(c.refused, id)
	}
	if c.refusing {
		return
	}
	c.refusing = true
	c.wg.Go(c.writeRefusals)
}

func (c *conn) writeRefusals() {
	c.badInput(c.source(), errTooManyStreams)
	for ids := c.takeRefused(); len(ids) > 0; ids = c.takeRefused() {
		for _, id := range ids {
			// An error is ignored, because the connection is then broken.
			_ = c.write(&frame{Type: frameFail, ID: id})
		}
	}
}

// takeRefused returns the refusals that wait to be written, and removes them.
func (c *conn) takeRefused() []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := c.refused
	c.refused, c.refusing = nil, len(ids) > 0
	return ids
}
