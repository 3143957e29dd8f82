package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// ledger is what the upstreams did, over all of them.
type ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *ledger) run(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

func (l *ledger) count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// spoil is what is wrong with an upstream's answers.
type spoil int32

const (
	sound    spoil = iota
	lost           // it runs the request and never answers
	reset          // it runs the request and resets
	half           // its answers break off
	extra          // a second answer follows each
	rubbish        // its answers are no answers
	slow           // it works ten times as long
	shedding       // it refuses everything, with proof
	spoils
)

// upstream is a stand-in of one instance.
type upstream struct {
	id       string
	zone     string
	ledger   *ledger
	server   *http.Server
	listener net.Listener
	link     *proxy
	spoiled  atomic.Int32
	running  atomic.Int32
	// noWorkFrom is when the last new work may come, in Unix nanoseconds.
	noWorkFrom atomic.Int64
	late       func(id, request string)
}

const capacity = 8

func newUpstream(t *testing.T, id, zone string, l *ledger, late func(id, request string)) *upstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	u := &upstream{id: id, zone: zone, ledger: l, listener: listener, late: late}
	u.link = newProxy(t, listener.Addr().String())
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: time.Second}
	go func() { _ = u.server.Serve(listener) }()
	t.Cleanup(func() { _ = u.server.Close() })
	return u
}

// row is what the instance records of itself in the store.
func (u *upstream) row(state string) map[string]any {
	return map[string]any{
		"service": "work", "address": u.link.address(), "zone": u.zone, "version": "v1", "capacity": capacity,
		"state": state, "warmup_left_ms": 0, "sequence": 1,
	}
}

// body is the answer to a request: a caller can tell whether it is its own
// and whether it is whole.
func body(id string) string {
	return "answer to " + id + fmt.Sprintf(" %0*d", 50+len(id)*7, 7)
}

// ServeHTTP runs one request.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Cairndock-Request-Id")
	s := spoil(u.spoiled.Load())
	_, _ = io.Copy(io.Discard, r.Body)
	h := w.Header()
	h.Set("X-Cairndock-Request-Id", id)
	if want := r.Header.Get("X-Cairndock-Expect-Instance"); want != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if u.running.Add(1) > 3*capacity || s == shedding {
		u.running.Add(-1)
		h.Set("X-Cairndock-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer u.running.Add(-1)
	if at := u.noWorkFrom.Load(); at != 0 && time.Now().UnixNano() > at {
		u.late(u.id, id)
	}
	u.ledger.run(id)
	work := time.Duration(5+rand.IntN(20)) * time.Millisecond
	if s == slow {
		work *= 10
	}
	time.Sleep(work)
	h.Set("X-Cairndock-Server-Signature", "sig-"+u.id)
	h.Set("X-Cairndock-Server-Load", fmt.Sprintf("%d,0,%d", u.running.Load(), capacity))
	u.answer(w, s, id)
}

func (u *upstream) answer(w http.ResponseWriter, s spoil, id string) {
	text := body(id)
	switch s {
	case lost:
		time.Sleep(3 * time.Second)
		panic(http.ErrAbortHandler)
	case reset:
		panic(http.ErrAbortHandler)
	case half, extra, rubbish:
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Cairndock-Request-Id: %s\r\nX-Cairndock-Server-Signature: s\r\nContent-Length: %d\r\n\r\n", id, len(text))
		switch s {
		case half:
			_, _ = io.WriteString(c, head+text[:len(text)/2])
		case extra:
			_, _ = io.WriteString(c, head+text+head+"x"+text[1:])
			time.Sleep(50 * time.Millisecond)
		default:
			_, _ = io.WriteString(c, "\x16\x03 no answer at all\r\n\r\n")
		}
	default:
		_, _ = io.WriteString(w, text)
	}
}

// end ends the instance at once.
func (u *upstream) end() {
	_ = u.server.Close()
	u.link.set(refuse)
}
