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

// Together with all other faults, upstreams announce that they leave, that they have a
// limit, or that they need a backoff. The requests that reach them afterwards are checked
// by host process, because a process that started later has not received the notice.

const (
	// noticeGap is the mean time between two upstreams that send notices.
	noticeGap = 900 * time.Millisecond
	// noticeSalt gives these faults a random source of their own, so that they do not
	// change the other faults of a seed.
	noticeSalt = 0x51
	// announcedLimit is the limit that upstreams announce, in requests per second, and
	// announcedLimitDuration for how long.
	announcedLimit         = 4.0
	announcedLimitDuration = 6 * time.Second
	// announcedBackoff is the backoff that upstreams request, and refusalDuration how
	// long they refuse requests.
	announcedBackoff = 1500 * time.Millisecond
	refusalDuration  = 3 * time.Second
	// leavingDuration is how long a leaving upstream continues to run.
	leavingDuration = 4 * time.Second
)

// origin is the host process to which a request was sent.
type origin struct {
	host    *host
	process int
}

// receipt records which process received an upstream's notice, and when.
type receipt struct {
	origin   origin
	upstream string
	at       time.Time
}

// noticeLog records the notices that upstreams sent in one run, and the processes that
// received them.
type noticeLog struct {
	mu sync.Mutex
	// sent holds the process to which each request was sent, and the time, by the
	// request's ID.
	sent map[string]sending
	// leaving, limited and refused hold the notices that processes received. The first
	// two are recorded when a client gets the response from the process, the last one at
	// each refusal.
	leaving, limited, refused []receipt
	// limits holds the periods in which upstreams had a limit.
	limits []limitPeriod
}

// sending is a request that a client sent.
type sending struct {
	origin origin
	at     time.Time
}

// limitPeriod is a period in which an upstream had a limit.
type limitPeriod struct {
	upstream *upstream
	from, to time.Time
}

func newNoticeLog() *noticeLog { return &noticeLog{sent: map[string]sending{}} }

// recordSent records the process to which a request is sent.
func (s *noticeLog) recordSent(id string, o origin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent[id] = sending{o, time.Now()}
}

// recordResponse records the notice in a client's response.
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

// recordRefused records that an upstream refuses a request and requests a backoff.
func (s *noticeLog) recordRefused(id string, u *upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = append(s.refused, receipt{s.sent[id].origin, u.ID, time.Now()})
}

// injectNotices makes upstreams send notices until the context ends. No other fault
// affects such an upstream at the same time.
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
			w.record.fault(began, []string{"an upstream announces that it leaves, with its row ready", "an upstream announces a limit", "an upstream requests a backoff"}[kind])
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
	period := limitPeriod{upstream: u, from: time.Now()}
	u.notice.Store(&platformtest.Notice{Limit: fmt.Sprint(announcedLimit)})
	time.Sleep(announcedLimitDuration)
	period.to = time.Now()
	u.notice.Store(nil)
	w.notices.mu.Lock()
	w.notices.limits = append(w.notices.limits, period)
	w.notices.mu.Unlock()
	w.restoreUpstream(u)
}

func (w *world) requestBackoff(u *upstream) {
	u.notice.Store(&platformtest.Notice{Backoff: fmt.Sprint(announcedBackoff.Seconds())})
	time.Sleep(refusalDuration)
	u.notice.Store(nil)
	w.restoreUpstream(u)
}

// clientArrival is a client's request that reached an upstream, with the process that
// sent it.
type clientArrival struct {
	sending
	arrived time.Time
}

// arrivalsOf returns the ordered requests of clients that reached each upstream, by the
// upstream's ID.
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

// checkNotices checks that hosts followed the notices that they received from upstreams.
func (w *world) checkNotices() {
	w.notices.mu.Lock()
	defer w.notices.mu.Unlock()
	arrivals := w.arrivalsOf()
	for _, h := range w.notices.leaving {
		for _, a := range arrivals[h.upstream] {
			if a.origin == h.origin && a.at.After(h.at.Add(maxLeaveDelay)) {
				w.violation("leaving: %s got a request of %s, sent %s after this host received its leaving notice", h.upstream, h.origin.host.name, a.at.Sub(h.at))
			}
		}
	}
	w.checkBackoffs(arrivals)
	most := 0
	for _, l := range w.notices.limits {
		most = max(most, w.checkLimitPeriod(l, arrivals[l.upstream.ID]))
	}
	w.t.Logf("seed %d: received %d leaving notices, %d backoff requests and %d notices of %d limits; at most %d requests in %s, %g allowed",
		w.seed, len(w.notices.leaving), len(w.notices.refused), len(w.notices.limited), len(w.notices.limits), most, noticeLimitWindow, maxRequestsAtLimit)
}

// checkBackoffs checks that no process sent more than maxBackoffRequests requests from
// noticeGrace after a refusal until the end of the backoff. Faults of the host are
// excused, because the refusal may have reached it late.
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
			w.violation("rest: %s got %d requests of %s during the backoff that it had requested", h.upstream, n, h.origin.host.name)
		}
	}
}

// maxRequestsAtLimit is the maximum number of requests in any noticeLimitWindow to an
// upstream that announced announcedLimit.
const maxRequestsAtLimit = announcedLimit*noticeLimitFactor*float64(noticeLimitWindow/time.Second) + noticeLimitSlack

// checkLimitPeriod checks that an upstream with a limit got no more requests than
// allowed from processes that had received the limit, and returns the maximum number in
// any noticeLimitWindow. Requests that a host sends close to a fault of its own are
// excused, because they arrive together after a pause.
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
		w.violation("limit: %s got %d requests in %s from hosts that had received its limit, %g allowed", l.upstream.ID, n, noticeLimitWindow, maxRequestsAtLimit)
	}
	return n
}
