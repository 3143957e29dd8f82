package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/platform/platformtest"
)

// ledger is what the upstreams know of the requests, by their ids.
type ledger struct {
	mu sync.Mutex
	// runs counts how often each ran, over all upstreams.
	runs map[string]int
	// ranAt is when each request of the limited account first ran.
	ranAt map[string]time.Time
	// arrivals are where and when each arrived, refused ones too.
	arrivals map[string][]arrival
}

// arrival is a request that reached an upstream that it was meant for.
type arrival struct {
	upstream *upstream
	at       time.Time
}

func newLedger() *ledger {
	return &ledger{runs: map[string]int{}, ranAt: map[string]time.Time{}, arrivals: map[string][]arrival{}}
}

func (l *ledger) arrive(id string, u *upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[id] = append(l.arrivals[id], arrival{u, time.Now()})
}

func (l *ledger) run(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
	if strings.HasPrefix(id, limitedPrefix) && l.runs[id] == 1 {
		l.ranAt[id] = time.Now()
	}
}

// defect is what is wrong with an upstream.
type defect int32

const (
	// sound is no defect.
	healthy defect = iota
	// lost runs the request and never responds.
	unresponsive
	// reset runs the request and resets the connection.
	reset
	// half breaks its responses off.
	truncated
	// extra sends a second response after each.
	duplicated
	// rubbish sends bytes that are no response.
	garbage
	// slow works ten times as long.
	slow
	// shedding refuses everything, with proof.
	shedding
	// defects is how many there are, sound included.
	defects
)

const (
	// capacity is how many requests an upstream says that it runs at once.
	capacity = 8
	// maxConcurrent is the number of requests above which it refuses more.
	maxConcurrent = 3 * capacity
)

// upstream is one stand-in of an upstream, behind a link.
type upstream struct {
	platformtest.Upstream
	zone    string
	ledger  *ledger
	server  *http.Server
	link    *link
	defect  atomic.Int32
	running atomic.Int32
	// disruptions are its faults and those of its link, and its end.
	disruptions disruptions
	// cold are the times for which it must not get more than a cold upstream
	// bears.
	cold coldPeriods
	// drainDeadline is when it must get no new requests any more, in Unix
	// nanoseconds; 0 is never.
	drainDeadline atomic.Int64
	// born is when it started, in Unix nanoseconds.
	startedAt atomic.Int64
	// late is called for each request after drainDeadline.
	onLateRequest func(upstream, request string)
	// violation, if it is set, records that a guarantee did not hold.
	violation func(format string, args ...any)
	// notice is what it says in its responses; nil is nothing.
	notice atomic.Pointer[platformtest.Notice]
	// refused is called for each request that it refuses and asks for rest.
	refused func(request string)
	// poisoned, if it is set, is called for each request that may end the upstream, and
	// reports whether it does. It is set while requests come.
	poisoned atomic.Pointer[func(u *upstream) bool]
}

func newUpstream(t *testing.T, id, zone string, l *ledger, onLateRequest func(upstream, request string)) *upstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	u := &upstream{Upstream: platformtest.Upstream{ID: id, Slots: capacity}, zone: zone, ledger: l, onLateRequest: onLateRequest}
	u.setStartedAt(time.Now())
	u.link = newLink(t, listener.Addr().String())
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: time.Second}
	// Serve's error only says that the server was closed.
	go func() { _ = u.server.Serve(listener) }()
	t.Cleanup(func() { _ = u.server.Close() })
	return u
}

// row is what the upstream writes about itself in the store.
func (u *upstream) row(draining bool) platformtest.UpstreamRow {
	return platformtest.UpstreamRow{Service: service, Address: u.link.address(), Zone: u.zone, Capacity: capacity, Draining: draining, ColdLeft: u.cold.remaining(), Born: time.Unix(0, u.startedAt.Load())}
}

// setStartedAt sets when its process started.
func (u *upstream) setStartedAt(at time.Time) { u.startedAt.Store(at.UnixNano()) }

// body is the response to a request: a client can tell whether it is its own
// and whether it is whole.
func body(id string) string {
	return fmt.Sprintf("answer to %s %0*d", id, 50+len(id)*7, 7)
}

// ServeHTTP runs one request.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d := defect(u.defect.Load())
	// A body that breaks off is the client's or the gateway's business.
	_, _ = io.Copy(io.Discard, r.Body)
	if n := u.notice.Load(); n != nil {
		n.SetHeaders(w.Header())
	}
	id, ok := u.Accept(w, r)
	if !ok {
		return
	}
	u.checkAccount(id, r)
	u.ledger.arrive(id, u)
	backingOff := false
	if n := u.notice.Load(); n != nil {
		backingOff = n.Rest != ""
	}
	if u.running.Add(1) > maxConcurrent || d == shedding || backingOff {
		u.running.Add(-1)
		if backingOff && u.refused != nil {
			u.refused(id)
		}
		u.Refuse(w)
		return
	}
	defer u.running.Add(-1)
	if at := u.drainDeadline.Load(); at != 0 && time.Now().UnixNano() > at {
		u.onLateRequest(u.ID, id)
	}
	u.ledger.run(id)
	if poisoned := u.poisoned.Load(); r.URL.Path == poisonPath(r.Method) && poisoned != nil && (*poisoned)(u) {
		panic(http.ErrAbortHandler)
	}
	work := time.Duration(5+rand.IntN(20)) * time.Millisecond
	if d == slow {
		work *= 10
	}
	time.Sleep(work)
	u.Sign(w.Header(), int(u.running.Load()))
	u.respond(w, d, id)
}

// respond sends the response, or what a defect makes of it. Errors mean that
// the connection has ended.
func (u *upstream) respond(w http.ResponseWriter, d defect, id string) {
	switch d {
	case unresponsive:
		time.Sleep(3 * time.Second)
		panic(http.ErrAbortHandler)
	case reset:
		panic(http.ErrAbortHandler)
	case truncated, duplicated, garbage:
		u.respondRaw(w, d, id)
	default:
		_, _ = io.WriteString(w, body(id))
	}
}

func (u *upstream) respondRaw(w http.ResponseWriter, d defect, id string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	text := body(id)
	head := u.ResponseHead(id, len(text))
	switch d {
	case truncated:
		_, _ = io.WriteString(c, head+text[:len(text)/2])
	case duplicated:
		_, _ = io.WriteString(c, head+text+head+"x"+text[1:])
		time.Sleep(50 * time.Millisecond)
	default:
		_, _ = io.WriteString(c, "\x16\x03 no answer at all\r\n\r\n")
	}
}

// crash ends the upstream as the end of its process does: its connections end, and
// its address refuses new ones.
func (u *upstream) crash() {
	_ = u.disruptions.begin() // it never ends
	u.link.close()
	_ = u.server.Close()
}

// end ends the upstream at once, for good.
func (u *upstream) end() {
	_ = u.disruptions.begin() // it never ends
	_ = u.server.Close()
	u.link.set(refuse)
}
