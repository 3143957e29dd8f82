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
	// oncePrefix marks the ids of requests that may not be repeated.
	oncePrefix = "once-"
	// clientTimeout is what clients say they wait.
	clientTimeout = 2 * time.Second
	// clientPause is the longest pause between two requests of a client.
	clientPause = 15 * time.Millisecond
	// keys is how many affinity keys there are.
	keys = 40
	// resolveEvery is after how many requests a client resolves the host name
	// again.
	resolveEvery = 10
	// idleShare is the part of the idle limit up to which clients take a
	// connection up again; from the platform.
	idleShare = 0.8
	// lateShare is where the last part of that time begins, which half of the
	// pauses of a clinging client reach.
	lateShare = 0.7
	// maxPieces is the highest number of pieces of a body.
	maxPieces = 3
	// maxPiece is the size of the largest piece, in bytes: above a host's read
	// buffer.
	maxPiece = 12 << 10
)

// client is one client: it sends one request at a time, half of which may not be
// repeated, and checks the responses.
type client struct {
	world *world
	name  string
	rand  *rand.Rand
	// directory is for the directories of hosts.
	directory *http.Client
	// conns are its connections by the address of the host.
	conns map[string]*clientConn
	// requests counts them.
	requests int
}

// newClient makes a client whose name no other one has.
func (w *world) newClient(name string) *client {
	stream := fnv.New64a()
	_, _ = stream.Write([]byte(name)) // a hash returns no error
	return &client{
		world: w, name: name, conns: map[string]*clientConn{},
		rand:      rand.New(rand.NewPCG(w.seed, stream.Sum64())),
		directory: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}},
	}
}

// close closes all connections. An error means that one is closed already.
func (c *client) close() {
	c.directory.CloseIdleConnections()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// roam sends requests until the context ends, to hosts that the directory
// names, on connections that it keeps open until they break.
func (c *client) roam(ctx context.Context) {
	defer c.close()
	addresses := c.resolve(ctx)
	for ctx.Err() == nil {
		if c.requests%resolveEvery == 0 || len(addresses) == 0 {
			addresses = c.resolve(ctx)
		}
		if len(addresses) == 0 {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c.send(addresses[c.rand.IntN(len(addresses))])
		time.Sleep(time.Duration(c.rand.IntN(int(clientPause/time.Millisecond))) * time.Millisecond)
	}
}

// cling sends requests until the context ends, to one host on one connection,
// whatever the directory says, until the host takes no more. It leaves the
// connection idle between two requests for up to idleShare of the limit.
func (c *client) cling(ctx context.Context, address string) {
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

// idleTime chooses how long a clinging client is idle: any time that is allowed,
// or nearly the longest.
func (c *client) idleTime() time.Duration {
	share := c.rand.Float64() * idleShare
	if c.rand.IntN(2) == 0 {
		share = lateShare + c.rand.Float64()*(idleShare-lateShare)
	}
	return time.Duration(share * float64(c.world.currentIdleLimit()))
}

// resolve resolves the host name at one host's directory, as a client of that
// host's zone. It gives nothing if the host does not respond, which faults may cause.
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

// send sends one request to a host and checks the response. It reports whether
// the host could be reached.
func (c *client) send(address string) bool {
	c.requests++
	conn, err := c.connection(address)
	if err != nil {
		c.world.record.request(time.Now(), 0, failed)
		return false
	}
	m := c.message()
	idle := time.Since(conn.lastEnd)
	c.world.noteSent(m.id, address)
	r := conn.exchange(m)
	c.world.record.request(r.began, r.ended.Sub(r.began), r.outcome())
	if r.err == nil {
		c.world.checkResponse(address, m.id, r)
		c.world.said.noteResponse(m.id, r.header)
	}
	if r.sent && r.closed {
		c.world.noteClosure(address, m.id, r, conn.requests, idle)
	}
	if conn.reader.Buffered() > 0 {
		c.world.violation("mixed: bytes after the response to %s at %s", m.id, address)
	}
	if !r.reusable {
		_ = conn.Close() // it has failed or ended already
		delete(c.conns, address)
	}
	return true
}

// noteSent notes which process of a host a request is sent to.
func (w *world) noteSent(id, address string) {
	if h := w.hostAt(address); h != nil {
		w.said.noteSent(id, origin{h, h.processNumber()})
	}
}

// connection gives the client's connection to a host, or makes it.
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

// message makes the client's next request.
func (c *client) message() message {
	m := message{id: fmt.Sprintf("safe-%s-%d", c.name, c.requests), key: strconv.Itoa(c.rand.IntN(keys))}
	if c.rand.IntN(2) == 0 {
		m.id = fmt.Sprintf("%s%s-%d", oncePrefix, c.name, c.requests)
		m.pieces, m.chunked = c.pieces(m.id), c.rand.IntN(2) == 0
	}
	return m
}

// pieces makes the body of a request.
func (c *client) pieces(id string) []string {
	pieces := []string{"payload of " + id}
	for range c.rand.IntN(maxPieces) {
		pieces = append(pieces, strings.Repeat("x", 1+c.rand.IntN(maxPiece)))
	}
	return pieces
}

// checkResponse checks a whole response: it belongs to the request and the route
// exists. A refused request is recorded, for checkLedger, as one that must not run.
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
