// Package losses sums up why requests missed their route's objective, from the
// logs of all hosts. internal/gateway/eventlog must have written every request
// (Sampling.OneIn is 1, and rates above the hosts' requests); what was left out
// is missing in every sum.
//
// It owns the rules by which a response that came late, or a request that got
// none, has one cause (cause.go), and the sums by cause, route, zone and second.
// It relies on package logline for the log's fields. `cairndock losses` prints
// its result. The logs end at the hosts: what happened on the way from a client,
// or while no host was there, is not in them.
package losses

import (
	"cmp"
	"io"
	"maps"
	"slices"
	"time"

	"cairndock/internal/gateway/eventlog"
	"cairndock/internal/gateway/logline"
	"cairndock/internal/verdict"
)

// Options say what a request is worth.
type Options struct {
	// Way is what a request takes between client and host, there and back. It is
	// taken off the objective, which counts from the client.
	Way time.Duration
	// LateShare is the part of its worth that a late response keeps, from 0 to 1.
	LateShare float64
	// Weights are the worth of a request of each priority, from the most urgent
	// on; the last one also holds for all that follow. Without any, each is 1.
	Weights []float64
}

// weight is the worth of a request of a priority.
func (o Options) weight(priority int) float64 {
	if len(o.Weights) == 0 {
		return 1
	}
	return o.Weights[max(0, min(priority, len(o.Weights)-1))]
}

// Sum adds up requests.
type Sum struct {
	// Requests is how many there are.
	Requests int
	// Worth is what they were worth, or what of it was lost.
	Worth float64
}

func (s *Sum) add(worth float64) {
	s.Requests++
	s.Worth += worth
}

// Report says what a log's requests were worth, and why some of it was lost.
type Report struct {
	// Owed sums all requests, and what they would have been worth in time.
	Owed Sum
	// Lost sums the requests that lost worth, by their cause.
	Lost map[Cause]Sum
	// Routes, Zones and Seconds have the same by the request's route, the host's
	// zone, and the second of the log in which it ended, from 0.
	Routes  map[string]Part
	Zones   map[string]Part
	Seconds map[int]Part
	// FirstLoads is how often an upstream got an object for the first time, and
	// Objects how many different ones there were, by service.
	FirstLoads map[string]int
	Objects    map[string]int
}

// Part is a part of a report's requests.
type Part struct {
	Owed Sum
	Lost map[Cause]Sum
}

// LostWorth is what the part lost, over all causes.
func (p Part) LostWorth() float64 { return lostWorth(p.Lost) }

// LostWorth is what all requests lost, over all causes.
func (r Report) LostWorth() float64 { return lostWorth(r.Lost) }

func lostWorth(lost map[Cause]Sum) float64 {
	total := 0.0
	for _, s := range lost {
		total += s.Worth
	}
	return total
}

// Read sums up logs. Its error is that of the reader.
func Read(logs io.Reader, o Options) (Report, error) {
	var h history
	if err := logline.Read(logs, h.add); err != nil {
		return Report{}, err
	}
	h.prepare()
	return h.report(o), nil
}

// history is what the logs say of all requests.
type history struct {
	finals   []logline.Line
	attempts []*attempt
	// byRequest and byUpstream have the same attempts, in the order in which
	// they began.
	byRequest  map[string][]*attempt
	byUpstream map[string][]*attempt
	// usual is the median time of a service's responses on objects that the
	// upstream had seen, in milliseconds.
	usual map[string]float64
}

// attempt is one attempt with what decides its cause.
type attempt struct {
	logline.Line
	began time.Time
	// first is set for the first attempt at its upstream with its key.
	first bool
}

func (h *history) add(l logline.Line) {
	switch l.Event {
	case eventlog.EventFinal:
		h.finals = append(h.finals, l)
	case eventlog.EventAttempt:
		took := time.Duration(l.TookMS * float64(time.Millisecond))
		h.attempts = append(h.attempts, &attempt{Line: l, began: l.Time.Add(-took)})
	}
}

// prepare orders the attempts, finds the first ones and the usual times.
func (h *history) prepare() {
	slices.SortStableFunc(h.attempts, func(a, b *attempt) int { return a.began.Compare(b.began) })
	slices.SortStableFunc(h.finals, func(a, b logline.Line) int { return a.Time.Compare(b.Time) })
	h.byRequest, h.byUpstream = map[string][]*attempt{}, map[string][]*attempt{}
	seen := map[[2]string]bool{}
	for _, a := range h.attempts {
		h.byRequest[a.Request] = append(h.byRequest[a.Request], a)
		h.byUpstream[a.Upstream] = append(h.byUpstream[a.Upstream], a)
		object := [2]string{a.Upstream, a.Key}
		a.first = a.Key != "" && !seen[object]
		seen[object] = true
	}
	h.usual = h.usualTimes()
}

// usualTimes gives the median time of each service's responses on objects that
// the upstream had seen.
func (h *history) usualTimes() map[string]float64 {
	times := map[string][]float64{}
	for _, a := range h.attempts {
		if a.Outcome == eventlog.OutcomeAnswered && !a.first && !a.Cold {
			times[a.Service] = append(times[a.Service], a.TookMS)
		}
	}
	medians := map[string]float64{}
	for service, t := range times {
		slices.Sort(t)
		medians[service] = t[len(t)/2]
	}
	return medians
}

// report sums up the requests.
func (h *history) report(o Options) Report {
	r := Report{
		Lost: map[Cause]Sum{}, Routes: map[string]Part{}, Zones: map[string]Part{}, Seconds: map[int]Part{},
		FirstLoads: map[string]int{}, Objects: map[string]int{},
	}
	for _, f := range h.finals {
		if !owed(f) {
			continue
		}
		worth := o.weight(f.Priority)
		cause := h.cause(f, o.Way)
		lost := worth * lostShare(cause, o.LateShare)
		second := int(f.Time.Sub(h.finals[0].Time) / time.Second)
		r.Owed.add(worth)
		addLost(r.Lost, cause, lost)
		addPart(r.Routes, f.Route, worth, cause, lost)
		addPart(r.Zones, f.HostZone, worth, cause, lost)
		addPart(r.Seconds, second, worth, cause, lost)
	}
	h.countObjects(r)
	return r
}

// countObjects counts the objects that upstreams got for the first time.
func (h *history) countObjects(r Report) {
	seen := map[[2]string]bool{}
	for _, a := range h.attempts {
		if a.first {
			r.FirstLoads[a.Service]++
		}
		object := [2]string{a.Service, a.Key}
		if a.Key != "" && !seen[object] {
			seen[object] = true
			r.Objects[a.Service]++
		}
	}
}

// owed reports whether a response was owed: not to a client that left, and not
// for a request that breaks a limit or has no route.
func owed(f logline.Line) bool {
	if f.Client == string(eventlog.ClientLeft) {
		return false
	}
	switch f.Reason {
	case verdict.UnknownRoute, verdict.HeaderTooLarge, verdict.BodyTooLarge, verdict.BodyStalled, verdict.BadRequest, verdict.CallerLeft:
		return false
	default:
		return true
	}
}

func addLost(lost map[Cause]Sum, c Cause, worth float64) {
	if c == None {
		return
	}
	s := lost[c]
	s.add(worth)
	lost[c] = s
}

func addPart[K cmp.Ordered](parts map[K]Part, key K, worth float64, c Cause, lost float64) {
	p := parts[key]
	if p.Lost == nil {
		p.Lost = map[Cause]Sum{}
	}
	p.Owed.add(worth)
	addLost(p.Lost, c, lost)
	parts[key] = p
}

// byWorth gives the causes of a sum, the most lost first.
func byWorth(lost map[Cause]Sum) []Cause {
	return slices.SortedFunc(maps.Keys(lost), func(a, b Cause) int {
		return cmp.Or(cmp.Compare(lost[b].Worth, lost[a].Worth), cmp.Compare(a, b))
	})
}
