package soak

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// closedRequest is a request that was sent completely, and whose connection the host
// closed before the response was complete.
type closedRequest struct {
	id   string
	host *host
	// began is when the request was sent, and ended when its client saw the close.
	began, ended time.Time
	// details are shown in a violation, to help to find the cause.
	details string
}

// shownLimits is the number of recent idle limits in the details of a closed request.
const shownLimits = 5

// recordClosedRequest records a request for checkCuts. The parameter request is the
// number of the request on its connection, and idle the time for which the connection
// was idle before.
func (w *world) recordClosedRequest(address, id string, r result, request int, idle time.Duration) {
	h := w.hostAt(address)
	if h == nil {
		w.violation("directory: it named %s, where no host listens", address)
		return
	}
	h.mu.Lock()
	details := fmt.Sprintf("request %d on its connection, idle %s before, status %d, %v", request, idle, r.status, r.err)
	if !h.stopping.IsZero() {
		details += fmt.Sprintf(", sent %s after SIGTERM", r.began.Sub(h.stopping))
	}
	h.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range w.idleLimits[max(0, len(w.idleLimits)-shownLimits):] {
		details += fmt.Sprintf(", idle limit %s set %s before the close", l.limit, r.ended.Sub(l.from).Round(time.Millisecond))
	}
	w.closedRequests = append(w.closedRequests, closedRequest{id: id, host: h, began: r.began, ended: r.ended, details: details})
}

// checkCuts checks that no request was cut. A request is cut if a host forwarded it to a
// healthy upstream and closed the client's connection without a response, while neither
// of the two nor the store had a fault. Planned work is no excuse. A request that
// reaches a host while it closes the connection, and is not forwarded, is not cut.
func (w *world) checkCuts() {
	w.mu.Lock()
	closedRequests := w.closedRequests
	w.mu.Unlock()
	forwarded := 0
	for _, c := range closedRequests {
		w.ledger.mu.Lock()
		arrivals := w.ledger.arrivals[c.id]
		w.ledger.mu.Unlock()
		forwarded += min(1, len(arrivals))
		for _, a := range arrivals {
			if w.isCut(c, a) {
				w.violation("cut: %s was sent to %s at %.3f s, reached %s %s later and its connection was closed after %s: %s", c.id, c.host.name,
					c.began.Sub(w.record.began).Seconds(), a.upstream.ID, a.at.Sub(c.began), c.ended.Sub(c.began), c.details)
			}
		}
	}
	w.t.Logf("seed %d: %d requests had their connections closed, %d of them were forwarded", w.seed, len(closedRequests), forwarded)
}

// isCut reports whether the host alone explains the close: no fault was present from
// settleTime before the request until its end.
func (w *world) isCut(c closedRequest, a arrival) bool {
	from, to := c.began.Add(-settleTime), c.ended
	if a.at.After(to) {
		to = a.at // the host may forward it after the close
	}
	return !w.storeDisruptions.during(from, to) && !c.host.disruptions.during(from, to) && !a.upstream.disruptions.during(from, to)
}

// A host in a planned stop forwarded a request of a kept connection to an upstream and
// then closed the connection without a response. The harness must report such a request;
// clients used to count it among other errors, so that no run failed.
func TestACutIsFoundUnlessAFaultExplainsIt(t *testing.T) {
	now := time.Now()
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	past := span{ago(time.Minute), ago(30 * time.Second)}
	recent := span{ago(10 * time.Second), ago(3 * time.Second)}
	for name, c := range map[string]struct {
		host, upstream, store span
		arrived               bool
		cut                   bool
	}{
		"forwarded":                     {arrived: true, cut: true},
		"not forwarded":                 {},
		"a fault of the host":           {arrived: true, host: recent},
		"a fault of the upstream":       {arrived: true, upstream: recent},
		"a fault of the store":          {arrived: true, store: recent},
		"an active fault":               {arrived: true, host: span{from: ago(time.Minute)}},
		"faults that ended long before": {arrived: true, host: past, upstream: past, store: past, cut: true},
		"a fault that began at the end": {arrived: true, host: span{from: now}},
		"a fault that began afterwards": {arrived: true, host: span{from: now.Add(time.Minute)}, cut: true},
	} {
		t.Run(name, func(t *testing.T) {
			h, u := &host{name: "host-0", clients: "here"}, &upstream{}
			w := &world{t: t, record: newRecorder(""), ledger: newLedger(), hosts: []*host{h}}
			for d, s := range map[*disruptions]span{&h.disruptions: c.host, &u.disruptions: c.upstream, &w.storeDisruptions: c.store} {
				if !s.from.IsZero() {
					d.spans = append(d.spans, &s)
				}
			}
			if c.arrived {
				w.ledger.arrivals["a"] = []arrival{{u, now}}
			}
			w.recordClosedRequest("here", "a", result{began: ago(time.Second), ended: ago(500 * time.Millisecond)}, 2, time.Second)
			w.checkCuts()
			require.Equal(t, c.cut, len(w.violations) == 1, w.violations)
		})
	}
}

func TestAClientKnowsThatItsConnectionWasClosed(t *testing.T) {
	for name, response := range map[string]string{
		"no byte":         "",
		"half a header":   "HTTP/1.1 200 OK\r\nContent-",
		"half a response": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			go func() {
				buf := make([]byte, 4<<10)
				_, _ = far.Read(buf) // the client sees any error
				_, _ = far.Write([]byte(response))
				_ = far.Close()
			}()
			r := newClientConn(near).exchange(message{id: "safe-1"})
			require.True(t, r.sent)
			require.True(t, r.closed, r.err)
			require.Equal(t, closed, r.outcome())
			require.False(t, r.reusable)
		})
	}
}
