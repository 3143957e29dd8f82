package soak

import (
	"cmp"
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

// ledger records the requests that reached the upstreams, by request ID.
type ledger struct {
	mu sync.Mutex
	// runs counts how often each request ran, over all upstreams.
	runs map[string]int
	// ranAt is the time at which each request of the limited account first ran.
	ranAt map[string]time.Time
	// arrivals holds the upstream and time of each arrival, including refused requests.
	arrivals map[string][]arrival
}

// arrival is the arrival of a request at its intended upstream.
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

// defect is a fault of an upstream's responses.
type defect int32

const (
	// healthy is no defect.
	healthy defect = iota
	// unresponsive runs the request and never responds.
	unresponsive
	// reset runs the request and resets the connection.
	reset
	// truncated breaks responses off in the middle.
	truncated
	// duplicated sends a second response after each response.
	duplicated
	// garbage sends bytes that are no HTTP response.
	garbage
	// slow takes ten times as long for each request.
	slow
	// shedding refuses all requests, with the proof that they did not run.
	shedding
	// defects is the number of values, including healthy.
	defects
)

const (
	// capacity is the number of concurrent requests that an upstream advertises.
	capacity = 8
	// maxConcurrent is the number of concurrent requests above which an upstream refuses
	// further ones.
	maxConcurrent = 3 * capacity
)

// upstream is a fake upstream behind a link.
type upstream struct {
	platformtest.Upstream
	zone string
	// service is the service of the upstream; empty for that of most upstreams.
	service string
	// version is the version of the upstream's program; empty for that of most upstreams.
	version string
	ledger  *ledger
	server  *http.Server
	link    *link
	defect  atomic.Int32
	running atomic.Int32
	// disruptions holds the faults of the upstream and of its link, and its end.
	disruptions disruptions
	// cold holds the periods in which the limit on requests to a cold upstream applies.
	cold coldPeriods
	// drainDeadline is the time from which the upstream must get no new requests, in
	// Unix nanoseconds; 0 means never.
	drainDeadline atomic.Int64
	// startedAt is the start time, in Unix nanoseconds.
	startedAt atomic.Int64
	// onLateRequest is called for each request after drainDeadline.
	onLateRequest func(upstream, request string)
	// violation, if set, records that a guarantee does not hold.
	violation func(format string, args ...any)
	// notice is the notice in the upstream's responses; nil means none.
	notice atomic.Pointer[platformtest.Notice]
	// refused is called for each request that the upstream refuses with a requested
	// backoff.
	refused func(request string)
	// receivedWhole, if set, is called for each request that arrived with its whole body.
	receivedWhole func(request string)
	// poisoned, if set, is called for each poison request, and reports whether the
	// request terminates the upstream. It is set while requests are served.
	poisoned atomic.Pointer[func(u *upstream) bool]
	// flooding is set while the upstream sends bytes without end in place of responses, and
	// floods counts them.
	flooding atomic.Bool
	floods   atomic.Int32
}

func newUpstream(t *testing.T, id, zone string, l *ledger, onLateRequest func(upstream, request string)) *upstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	u := &upstream{Upstream: platformtest.Upstream{ID: id, Slots: capacity}, zone: zone, ledger: l, onLateRequest: onLateRequest}
	u.setStartedAt(time.Now())
	u.link = newLink(t, listener.Addr().String())
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: time.Second}
	// The error of Serve only reports that the server was closed.
	go func() { _ = u.server.Serve(listener) }()
	t.Cleanup(func() { _ = u.server.Close() })
	return u
}

// row returns the upstream's row in the store.
func (u *upstream) row(draining bool) platformtest.UpstreamRow {
	return platformtest.UpstreamRow{Service: cmp.Or(u.service, service), Address: u.link.address(), Zone: u.zone, Version: u.version, Capacity: capacity, Draining: draining, ColdLeft: u.cold.remaining(), StartedAt: time.Unix(0, u.startedAt.Load())}
}

// setStartedAt sets the start time of the upstream's process.
func (u *upstream) setStartedAt(at time.Time) { u.startedAt.Store(at.UnixNano()) }

// body returns the response body of a request. It lets a client check that the response
// belongs to its request and is complete.
func body(id string) string {
	return fmt.Sprintf("answer to %s %0*d", id, 50+len(id)*7, 7)
}

// ServeHTTP runs one request.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d := defect(u.defect.Load())
	// A truncated request body is not the upstream's error.
	_, bodyErr := io.Copy(io.Discard, r.Body)
	if n := u.notice.Load(); n != nil {
		n.SetHeaders(w.Header())
	}
	id, ok := u.Accept(w, r)
	if !ok {
		return
	}
	u.checkAccount(id, r)
	if u.receivedWhole != nil && bodyErr == nil {
		u.receivedWhole(id)
	}
	u.ledger.arrive(id, u)
	backingOff := false
	if n := u.notice.Load(); n != nil {
		backingOff = n.Backoff != ""
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
	if u.flooding.Load() {
		floods[int(u.floods.Add(1))%len(floods)].send(w, u, id)
		return
	}
	u.Sign(w.Header(), int(u.running.Load()))
	u.respond(w, d, id)
}

// respond sends the response, modified by the defect. Errors are ignored, because they
// mean that the connection has ended.
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

// crash closes the upstream's connections and refuses new ones, as at the end of a
// process.
func (u *upstream) crash() {
	_ = u.disruptions.begin() // this disruption never ends
	u.link.close()
	_ = u.server.Close()
}

// end stops the upstream permanently, without a drain.
func (u *upstream) end() {
	_ = u.disruptions.begin() // this disruption never ends
	_ = u.server.Close()
	u.link.set(refuse)
}
