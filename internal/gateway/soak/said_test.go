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
	// noticeGap is the mean time between two upstreams that say something.
	noticeGap = 900 * time.Millisecond
	// noticeSalt makes these draws independent of the others of a seed.
	noticeSalt = 0x51
	// announcedLimit is the limit that upstreams say they have, in requests a second, and
	// announcedLimitDuration for how long.
	announcedLimit         = 4.0
	announcedLimitDuration = 6 * time.Second
	// announcedBackoff is the rest that upstreams ask for, and refusalDuration how long they refuse.
	announcedBackoff = 1500 * time.Millisecond
	refusalDuration  = 3 * time.Second
	// leavingDuration is how long an upstream that leaves goes on.
	leavingDuration = 4 * time.Second
)

// origin is the process of a host that a request was sent to.
type origin struct {
	host    *host
	process int
}

// hearing is a process that has an upstream's word, and since when.
type receipt struct {
	origin   origin
	upstream string
	at       time.Time
}

// said is what upstreams said in one run, and who heard it.
type noticeLog struct {
	mu sync.Mutex
	// sent is which process each request was sent to, by its id, and when.
	sent map[string]sending
	// leaving, limited and refused are what processes heard: the first two by a response
	// that a client got from them, the last by each refusal.
	leaving, limited, refused []receipt
	// limits are the times for which upstreams had a limit.
	limits []limitPeriod
}

// sending is a request that a client sent.
type sending struct {
	origin origin
	at     time.Time
}

// limitPeriod is the time for which an upstream had a limit.
type limitPeriod struct {
	upstream *upstream
	from, to time.Time
}

func newNoticeLog() *noticeLog { return &noticeLog{sent: map[string]sending{}} }

// recordSent notes which process a request is sent to.
func (s *noticeLog) recordSent(id string, o origin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent[id] = sending{o, time.Now()}
}

// recordResponse notes what a client's response says of its upstream.
func (s *noticeLog) recordResponse(id string, header http.Header) {
	n, upstream := platformtest.ReadNotice(header)
	if upstream == "" || !n.Leaving && n.Limit == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	h := receipt{s.sent[id].origin, upstream, time.Now()}
	if n.Leaving {
		s.leaving = append(s.leaving, h)
	}
	if n.Limit != "" {
		s.limited = append(s.limited, h)
	}
}

// recordRefused notes that an upstream refuses a request and asks for rest.
func (s *noticeLog) recordRefused(id string, u *upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = append(s.refused, receipt{s.sent[id].origin, u.ID, time.Now()})
}

// injectNotices has upstreams say something until the context ends. No other fault
// strikes an upstream meanwhile.
func (w *world) injectNotices(ctx context.Context) {
	random := rand.New(rand.NewPCG(w.seed, noticeSalt))
	var wait sync.WaitGroup
	defer wait.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(noticeGap/2 + time.Duration(random.Int64N(int64(noticeGap)))):
		}
		kind := random.IntN(3)
		u := w.removeUpstream()
		if u == nil {
			continue
		}
		wait.Go(func() {
			began := time.Now()
			[]func(*upstream){w.announceLeaving, w.announceLimit, w.requestBackoff}[kind](u)
			w.record.fault(began, []string{"an upstream leaves, its row ready", "an upstream names a limit", "an upstream asks for rest"}[kind])
		})
	}
}

func (w *world) announceLeaving(u *upstream) {
	w.addUpstream(u.zone)
	u.notice.Store(&platformtest.Notice{Leaving: true})
	time.Sleep(leavingDuration)
	w.store.DeleteUpstream(u.ID)
	u.end()
}

func (w *world) announceLimit(u *upstream) {
	spell := limitPeriod{upstream: u, from: time.Now()}
	u.notice.Store(&platformtest.Notice{Limit: fmt.Sprint(announcedLimit)})
	time.Sleep(announcedLimitDuration)
	spell.to = time.Now()
	u.notice.Store(nil)
	w.notices.mu.Lock()
	w.notices.limits = append(w.notices.limits, spell)
	w.notices.mu.Unlock()
	w.restoreUpstream(u)
}

func (w *world) requestBackoff(u *upstream) {
	u.notice.Store(&platformtest.Notice{Rest: fmt.Sprint(announcedBackoff.Seconds())})
	time.Sleep(refusalDuration)
	u.notice.Store(nil)
	w.restoreUpstream(u)
}

// heard is a request that reached an upstream, by the process that sent it.
type clientArrival struct {
	sending
	arrived time.Time
}

// arrivalsOf gives the requests of clients that reached each upstream, in order.
func (w *world) arrivalsOf() map[string][]clientArrival {
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	out := map[string][]clientArrival{}
	for id, arrivals := range w.ledger.arrivals {
		s, ok := w.notices.sent[id]
		if !ok {
			continue
		}
		for _, a := range arrivals {
			out[a.upstream.ID] = append(out[a.upstream.ID], clientArrival{s, a.at})
		}
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b clientArrival) int { return a.arrived.Compare(b.arrived) })
	}
	return out
}

// checkNotices checks that upstreams got what they had said.
func (w *world) checkNotices() {
	w.notices.mu.Lock()
	defer w.notices.mu.Unlock()
	arrivals := w.arrivalsOf()
	for _, h := range w.notices.leaving {
		for _, a := range arrivals[h.upstream] {
			if a.origin == h.origin && a.at.After(h.at.Add(maxLeaveDelay)) {
				w.violation("leaving: %s got a request of %s, sent %s after it had said there that it leaves", h.upstream, h.origin.host.name, a.at.Sub(h.at))
			}
		}
	}
	w.checkBackoffs(arrivals)
	most := 0
	for _, l := range w.notices.limits {
		most = max(most, w.checkLimitPeriod(l, arrivals[l.upstream.ID]))
	}
	w.t.Logf("seed %d: heard %d times that an upstream leaves, %d times to rest, %d times of %d limits; at most %d requests in %s, %g allowed",
		w.seed, len(w.notices.leaving), len(w.notices.refused), len(w.notices.limited), len(w.notices.limits), most, noticeLimitWindow, maxRequestsAtLimit)
}

// checkBackoffs checks that no process sent more than maxBackoffRequests requests between noticeGrace after
// a refusal and the end of the rest. Faults of the host are excused, as the refusal may have
// reached it late.
func (w *world) checkBackoffs(arrivals map[string][]clientArrival) {
	for _, h := range w.notices.refused {
		if h.origin.host == nil || h.origin.host.disruptions.during(h.at.Add(-time.Second), h.at.Add(announcedBackoff)) {
			continue
		}
		n := 0
		for _, a := range arrivals[h.upstream] {
			if a.origin == h.origin && a.arrived.After(h.at.Add(noticeGrace)) && a.arrived.Before(h.at.Add(announcedBackoff)) {
				n++
			}
		}
		if n > maxBackoffRequests {
			w.violation("rest: %s got %d requests of %s in the rest that it had asked for", h.upstream, n, h.origin.host.name)
		}
	}
}

// maxRequestsAtLimit is how many requests an upstream may get in any noticeLimitWindow that has named
// announcedLimit.
const maxRequestsAtLimit = announcedLimit*noticeLimitFactor*float64(noticeLimitWindow/time.Second) + noticeLimitSlack

// checkLimitPeriod checks that an upstream with a limit got no more than is allowed from
// processes that had been told, and gives the most in any noticeLimitWindow. What a host sends around
// a fault of its own is excused: a pause has it arrive together.
func (w *world) checkLimitPeriod(l limitPeriod, arrivals []clientArrival) int {
	firstReceipt := map[origin]time.Time{}
	for _, h := range w.notices.limited {
		if first, ok := firstReceipt[h.origin]; h.upstream == l.upstream.ID && h.at.After(l.from) && (!ok || h.at.Before(first)) {
			firstReceipt[h.origin] = h.at
		}
	}
	var at []time.Time
	for _, a := range arrivals {
		since, ok := firstReceipt[a.origin]
		if ok && a.arrived.After(since.Add(noticeGrace)) && a.arrived.Before(l.to) && !a.origin.host.disruptions.during(a.arrived.Add(-settleTime), a.arrived) {
			at = append(at, a.arrived)
		}
	}
	n, _ := maxInWindow(at, noticeLimitWindow)
	if float64(n) > maxRequestsAtLimit {
		w.violation("limit: %s got %d requests in %s from hosts that it had told, %g allowed", l.upstream.ID, n, noticeLimitWindow, maxRequestsAtLimit)
	}
	return n
}
