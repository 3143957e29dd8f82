package peer

import (
	"net"
	"slices"
	"sync"

	"github.com/rotisserie/eris"
)

// maxHandshakes is the maximum number of accepted connections whose handshake is not complete.
// Their senders are not known yet and may hold descriptors that others need.
const maxHandshakes = 256

// errManyHandshakes is reported for a connection that was closed for a newer one.
var errManyHandshakes = eris.Errorf("handshake: more than %d at the same time", maxHandshakes)

// handshakes are the accepted connections whose handshake is not complete.
type handshakes struct {
	mu sync.Mutex
	// conns are the connections, the oldest first.
	conns []net.Conn
}

// begin adds a connection. It returns the oldest one if there are too many, which the caller
// closes.
func (h *handshakes) begin(nc net.Conn) (oldest net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conns = append(h.conns, nc)
	if len(h.conns) <= maxHandshakes {
		return nil
	}
	oldest = h.conns[0]
	h.conns = slices.Delete(h.conns, 0, 1)
	return oldest
}

// end removes a connection, if it has not been returned by begin.
func (h *handshakes) end(nc net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if i := slices.Index(h.conns, nc); i >= 0 {
		h.conns = slices.Delete(h.conns, i, i+1)
	}
}
