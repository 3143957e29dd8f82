package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cairndock/internal/pause"
	"cairndock/platform/platformtest"
)

const (
	// oncePrefix is the prefix of the IDs of requests that must not be repeated.
	oncePrefix = "once-"
	// clientTimeout is the timeout that clients send with their requests.
	clientTimeout = 2 * time.Second
	// maxClientPause is the maximum pause between two requests of a client.
	maxClientPause = 15 * time.Millisecond
	// keys is the number of affinity keys.
	keys = 40
	// requestsPerResolve is the number of requests after which a client resolves the
	// host name again.
	requestsPerResolve = 10
	// maxIdleFraction is the fraction of the idle limit up to which clients reuse an
	// idle connection. The value comes from the platform.
	maxIdleFraction = 0.8
	// lateIdleFraction is the start of the last part of this time. Half of a persistent
	// client's pauses end between lateIdleFraction and maxIdleFraction.
	lateIdleFraction = 0.7
	// maxPieces is the maximum number of random pieces of a body.
	maxPieces = 3
	// maxPieceBytes is the maximum size of a piece, in bytes. It exceeds a host's read
	// buffer.
	maxPieceBytes = 12 << 10
)

// client is a simulated client. It sends one request at a time and checks the responses.
// Half of its requests must not be repeated.
type client struct {
	world *world
	name  string
	rand  *rand.Rand
	// directory is the HTTP client for the hosts' directories.
	directory *http.Client
	// conns holds the open connections by the address of the host.
	conns map[string]*clientConn
	// requests is the number of requests so far.
	requests int
}

// newClient returns a client. The name must be unique; it also seeds the client's random
// source.
func (w *world) newClient(name string) *client {
	stream := fnv.New64a()
	_, _ = stream.Write([]byte(name)) // a hash returns no error
	return &client{
		world: w, name: name, conns: map[string]*clientConn{},
		rand:      rand.New(rand.NewPCG(w.seed, stream.Sum64())),
		directory: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}},
	}
}

// close closes all connections. Errors are ignored, because they mean that a connection
// is already closed.
func (c *client) close() {
	c.directory.CloseIdleConnections()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// runDirectoryClient sends requests until the context ends, to hosts that the directory
// names. It keeps connections open until they break.
func (c *client) runDirectoryClient(ctx context.Context) {
	defer c.close()
	addresses := c.resolve(ctx)
	for ctx.Err() == nil {
		if c.requests%requestsPerResolve == 0 || len(addresses) == 0 {
			addresses = c.resolve(ctx)
		}
		if len(addresses) == 0 {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c.send(addresses[c.rand.IntN(len(addresses))])
		time.Sleep(time.Duration(c.rand.IntN(int(maxClientPause/time.Millisecond))) * time.Millisecond)
	}
}

// runPersistentClient sends requests until the context ends, to one host on one
// connection. It ignores the directory until the host accepts no more connections.
// Between two requests it leaves the connection idle for up to maxIdleFraction of the
// idle limit.
func (c *client) runPersistentClient(ctx context.Context, address string) {
	defer c.close()
	for pause.For(ctx, c.idleTime()) {
		if c.send(address) {
			continue
		}
		if others := c.resolve(ctx); len(others) > 0 {
			address = others[c.rand.IntN(len(others))]
		}
	}
}

// idleTime returns a random idle time for a persistent client: in half of the cases any
// allowed time, else a time close to the longest.
func (c *client) idleTime() time.Duration {
	fraction := c.rand.Float64() * maxIdleFraction
	if c.rand.IntN(2) == 0 {
		fraction = lateIdleFraction + c.rand.Float64()*(maxIdleFraction-lateIdleFraction)
	}
	return time.Duration(fraction * float64(c.world.currentIdleLimit()))
}

// resolve resolves the host name at the directory of a random host, as a client in the
// zone of this host. It returns nil if the host does not respond, which faults may
// cause.
func (c *client) resolve(ctx context.Context) []string {
	h := c.world.hosts[c.rand.IntN(len(c.world.hosts))]
	ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancel()
	addresses, err := platformtest.Resolve(ctx, c.directory, h.directory, platformtest.Location{Name: hostname, Zone: h.zone.name, Region: h.zone.region})
	if err != nil {
		return nil
	}
	return addresses
}

// send sends one request to a host and checks the response. It reports whether the host
// could be reached.
func (c *client) send(address string) bool {
	c.requests++
	conn, err := c.connection(address)
	if err != nil {
		c.world.record.request(time.Now(), 0, failed)
		return false
	}
	m := c.message()
	idle := time.Since(conn.lastEnd)
	c.world.recordRequest()
	c.world.recordSent(m.id, address)
	r := conn.exchange(m)
	c.world.record.request(r.began, r.ended.Sub(r.began), r.outcome())
	if r.err == nil {
		c.world.checkResponse(address, m.id, r)
		c.world.notices.recordResponse(m.id, r.header)
	}
	if r.sent && r.closed {
		c.world.recordClosedRequest(address, m.id, r, conn.requests, idle)
	}
	if conn.reader.Buffered() > 0 {
		c.world.violation("mixed: unexpected bytes after the response to %s at %s", m.id, address)
	}
	if !r.reusable {
		_ = conn.Close() // the connection may already be closed
		delete(c.conns, address)
	}
	return true
}

// recordSent records the host process to which a request is sent.
func (w *world) recordSent(id, address string) {
	if h := w.hostAt(address); h != nil {
		w.notices.recordSent(id, origin{h, h.processNumber()})
	}
}

// connection returns the client's connection to a host and opens it if there is none.
func (c *client) connection(address string) (*clientConn, error) {
	if conn, ok := c.conns[address]; ok {
		return conn, nil
	}
	conn, err := dialHost(address)
	if err == nil {
		c.conns[address] = conn
	}
	return conn, err
}

// message returns the client's next request.
func (c *client) message() message {
	m := message{id: fmt.Sprintf("safe-%s-%d", c.name, c.requests), key: strconv.Itoa(c.rand.IntN(keys))}
	if c.rand.IntN(2) == 0 {
		m.id = fmt.Sprintf("%s%s-%d", oncePrefix, c.name, c.requests)
		m.pieces, m.chunked = c.pieces(m.id), c.rand.IntN(2) == 0
	}
	return m
}

// pieces returns the pieces of a request's body.
func (c *client) pieces(id string) []string {
	pieces := []string{"payload of " + id}
	for range c.rand.IntN(maxPieces) {
		pieces = append(pieces, strings.Repeat("x", 1+c.rand.IntN(maxPieceBytes)))
	}
	return pieces
}

// checkResponse checks that a complete response belongs to its request and that the
// route was found. It records a refused request for checkLedger as one that must not
// run.
func (w *world) checkResponse(address, id string, r result) {
	switch r.status {
	case http.StatusOK:
		if r.text != body(id) {
			w.violation("mixed: %s got %.60q", id, r.text)
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		if strings.HasPrefix(id, oncePrefix) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.notRun[id] = address
		}
	case http.StatusNotFound:
		w.violation("denied: %s got 404 at %s", id, address)
	}
}
