package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"cairndock/platform/platformtest"
)

// Beside all faults upstreams say of themselves that they leave, that they have a limit, or
// that they rest. What they get then is checked, by host and process: one that has started
// since has not been told.

const (
	// saidGap is the mean time between two upstreams that say something.
	saidGap = 900 * time.Millisecond
	// saidSalt makes these draws independent of the others of a seed.
	saidSalt = 0x51
	// limitSaid is the limit that upstreams say they have, in requests a second, and
	// limitSaidFor for how long.
	limitSaid    = 4.0
	limitSaidFor = 6 * time.Second
	// restSaid is the rest that upstreams ask for, and refuseFor how long they refuse.
	restSaid  = 1500 * time.Millisecond
	refuseFor = 3 * time.Second
	// leavingFor is how long an upstream that leaves goes on.
	leavingFor = 4 * time.Second
)

// origin is the process of a host that a request was sent to.
type origin struct {
	host    *host
	process int
}

// hearing is a process that has an upstream's word, and since when.
type hearing struct {
	origin   origin
	upstream string
	at       time.Time
}

// said is what upstreams said in one run, and who heard it.
type said struct {
	mu sync.Mutex
	// sent is which process each request was sent to, by its id, and when.
	sent map[string]sending
	// leaving, limited and refused are what processes heard: the first two by a response
	// that a client got from them, the last by each refusal.
	leaving, limited, refused []hearing
	// limits are the times for which upstreams had a limit.
	limits []limitSpell
}

// sending is a request that a client sent.
type sending struct {
	origin origin
	at     time.Time
}

// limitSpell is the time for which an upstream had a limit.
type limitSpell struct {
	upstream *upstream
	from, to time.Time
}

func newSaid() *said { return &said{sent: map[string]sending{}} }

// noteSent notes which process a request is sent to.
func (s *said) noteSent(id string, o origin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent[id] = sending{o, time.Now()}
}

// noteResponse notes what a client's response says of its upstream.
func (s *said) noteResponse(id string, header http.Header) {
	n, upstream := platformtest.ReadNotice(header)
	if upstream == "" || !n.Leaving && n.Limit == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	h := hearing{s.sent[id].origin, upstream, time.Now()}
	if n.Leaving {
		s.leaving = append(s.leaving, h)
	}
	if n.Limit != "" {
		s.limited = append(s.limited, h)
	}
}

// noteRefused notes that an upstream refuses a request and asks for rest.
func (s *said) noteRefused(id string, u *upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = append(s.refused, hearing{s.sent[id].origin, u.ID, time.Now()})
}

// haveUpstreamsSay has upstreams say something until the context ends. No other fault
// strikes an upstream meanwhile.
func (w *world) haveUpstreamsSay(ctx context.Context) {
	random := rand.New(rand.NewPCG(w.seed, saidSalt))
	var wait sync.WaitGroup
	defer wait.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(saidGap/2 + time.Duration(random.Int64N(int64(saidGap)))):
		}
		kind := random.IntN(3)
		u := w.takeUpstream()
		if u == nil {
			continue
		}
		wait.Go(func() {
			began := time.Now()
			[]func(*upstream){w.sayLeaving, w.sayLimit, w.sayRest}[kind](u)
			w.record.fault(began, []string{"an upstream leaves, its row ready", "an upstream names a limit", "an upstream asks for rest"}[kind])
		})
	}
}

func (w *world) sayLeaving(u *upstream) {
	w.addUpstream(u.zone)
	u.notice.Store(&platformtest.Notice{Leaving: true})
	time.Sleep(leavingFor)
	w.store.DeleteUpstream(u.ID)
	u.end()
}

func (w *world) sayLimit(u *upstream) {
	spell := limitSpell{upstream: u, from: time.Now()}
	u.notice.Store(&platformtest.Notice{Limit: fmt.Sprint(limitSaid)})
	time.Sleep(limitSaidFor)
	spell.to = time.Now()
	u.notice.Store(nil)
	w.said.mu.Lock()
	w.said.limits = append(w.said.limits, spell)
	w.said.mu.Unlock()
	w.giveBack(u)
}

func (w *world) sayRest(u *upstream) {
	u.notice.Store(&platformtest.Notice{Backoff: fmt.Sprint(restSaid.Seconds())})
	time.Sleep(refuseFor)
	u.notice.Store(nil)
	w.giveBack(u)
}

// heard is a request that reached an upstream, by the process that sent it.
type heard struct {
	sending
	arrived time.Time
}

// arrivalsOf gives the requests of clients that reached each upstream, in order.
func (w *world) arrivalsOf() map[string][]heard {
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	out := map[string][]heard{}
	for id, arrivals := range w.ledger.arrivals {
		s, ok := w.said.sent[id]
		if !ok {
			continue
		}
		for _, a := range arrivals {
			out[a.upstream.ID] = append(out[a.upstream.ID], heard{s, a.at})
		}
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b heard) int { return a.arrived.Compare(b.arrived) })
	}
	return out
}

// checkSaid checks that upstreams got what they had said.
func (w *world) checkSaid() {
	w.said.mu.Lock()
	defer w.said.mu.Unlock()
	arrivals := w.arrivalsOf()
	for _, h := range w.said.leaving {
		for _, a := range arrivals[h.upstream] {
			if a.origin == h.origin && a.at.After(h.at.Add(leaveWithin)) {
				w.violation("leaving: %s got a request of %s, sent %s after it had said there that it leaves", h.upstream, h.origin.host.name, a.at.Sub(h.at))
			}
		}
	}
	w.checkRests(arrivals)
	most := 0
	for _, l := range w.said.limits {
		most = max(most, w.checkLimitSpell(l, arrivals[l.upstream.ID]))
	}
	w.t.Logf("seed %d: heard %d times that an upstream leaves, %d times to rest, %d times of %d limits; at most %d requests in %s, %g allowed",
		w.seed, len(w.said.leaving), len(w.said.refused), len(w.said.limited), len(w.said.limits), most, limitSpan, allowedAtLimit)
}

// checkRests checks that no process sent more than restMost requests between toldAfter after
// a refusal and the end of the rest. Faults of the host are excused, as the refusal may have
// reached it late.
func (w *world) checkRests(arrivals map[string][]heard) {
	for _, h := range w.said.refused {
		if h.origin.host == nil || h.origin.host.disruptions.during(h.at.Add(-time.Second), h.at.Add(restSaid)) {
			continue
		}
		n := 0
		for _, a := range arrivals[h.upstream] {
			if a.origin == h.origin && a.arrived.After(h.at.Add(toldAfter)) && a.arrived.Before(h.at.Add(restSaid)) {
				n++
			}
		}
		if n > restMost {
			w.violation("rest: %s got %d requests of %s in the rest that it had asked for", h.upstream, n, h.origin.host.name)
		}
	}
}

// allowedAtLimit is how many requests an upstream may get in any limitSpan that has named
// limitSaid.
const allowedAtLimit = limitSaid*limitFactor*float64(limitSpan/time.Second) + limitRest

// checkLimitSpell checks that an upstream with a limit got no more than is allowed from
// processes that had been told, and gives the most in any limitSpan. What a host sends around
// a fault of its own is excused: a pause has it arrive together.
func (w *world) checkLimitSpell(l limitSpell, arrivals []heard) int {
	told := map[origin]time.Time{}
	for _, h := range w.said.limited {
		if first, ok := told[h.origin]; h.upstream == l.upstream.ID && h.at.After(l.from) && (!ok || h.at.Before(first)) {
			told[h.origin] = h.at
		}
	}
	var at []time.Time
	for _, a := range arrivals {
		since, ok := told[a.origin]
		if ok && a.arrived.After(since.Add(toldAfter)) && a.arrived.Before(l.to) && !a.origin.host.disruptions.during(a.arrived.Add(-calmAfter), a.arrived) {
			at = append(at, a.arrived)
		}
	}
	n, _ := mostIn(at, limitSpan)
	if float64(n) > allowedAtLimit {
		w.violation("limit: %s got %d requests in %s from hosts that it had told, %g allowed", l.upstream.ID, n, limitSpan, allowedAtLimit)
	}
	return n
}
