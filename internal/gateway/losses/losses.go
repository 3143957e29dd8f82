// Package losses summarizes from the logs of all hosts why requests missed their
// route's objective. Package eventlog must have logged every request: Sampling.OneIn
// must be 1, and the limits of log lines per second must exceed the hosts' rates of
// requests. Requests that were not logged are missing in all sums.
//
// The package assigns one cause to each request with a late response or without any
// response (cause.go), and sums up requests by cause, route, zone and second.
// Package logline defines the fields of the log, and `cairndock losses` prints the
// result. The logs contain only events at the hosts. They do not cover the network
// between client and host, nor periods in which no host was running.
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

// Options define the weight of a request and of a late response.
type Options struct {
	// RTT is the round-trip time between client and host. It is subtracted from the
	// objective, which includes this time.
	RTT time.Duration
	// LateFraction is the fraction of its weight that a request with a late response
	// keeps, from 0 to 1.
	LateFraction float64
	// Weights are the weights of a request by priority, starting with the most
	// urgent. The last weight applies to all further priorities too. If Weights is
	// empty, every request has weight 1.
	Weights []float64
}

// weight returns the weight of a request with a priority.
func (o Options) weight(priority int) float64 {
	if len(o.Weights) == 0 {
		return 1
	}
	return o.Weights[max(0, min(priority, len(o.Weights)-1))]
}

// Sum is a number of requests with their total weight.
type Sum struct {
	// Requests is the number of requests.
	Requests int
	// Weight is the total weight of the requests, or the total weight that they lost.
	Weight float64
}

func (s *Sum) add(weight float64) {
	s.Requests++
	s.Weight += weight
}

// Report contains the requests of a log, and the causes for which they missed their
// objectives.
type Report struct {
	// Total sums up all counted requests with their full weight.
	Total Sum
	// Lost sums up the requests that missed their objective, with the lost weight, by
	// cause.
	Lost map[Cause]Sum
	// Routes, Zones and Seconds contain the same sums by route, by the host's zone,
	// and by the second in which the request ended, counted from the start of the log.
	Routes  map[string]Group
	Zones   map[string]Group
	Seconds map[int]Group
	// FirstLoads is the number of first requests for an object at an upstream, and
	// Objects the number of distinct objects, by service.
	FirstLoads map[string]int
	Objects    map[string]int
}

// Group contains the sums of a subset of a report's requests.
type Group struct {
	Total Sum
	Lost  map[Cause]Sum
}

// LostWeight returns the lost weight of the subset, over all causes.
func (g Group) LostWeight() float64 { return lostWeight(g.Lost) }

// LostWeight returns the lost weight of all requests, over all causes.
func (r Report) LostWeight() float64 { return lostWeight(r.Lost) }

func lostWeight(lost map[Cause]Sum) float64 {
	total := 0.0
	for _, s := range lost {
		total += s.Weight
	}
	return total
}

// Read returns the report of logs. Its error is the error of the reader.
func Read(logs io.Reader, o Options) (Report, error) {
	var h history
	if err := logline.Read(logs, h.add); err != nil {
		return Report{}, err
	}
	h.prepare()
	return h.report(o), nil
}

// history contains the final log lines and the attempts of all requests.
type history struct {
	finals   []logline.Line
	attempts []*attempt
	// byRequest and byUpstream contain the attempts grouped by request and by
	// upstream, sorted by the time at which they began.
	byRequest  map[string][]*attempt
	byUpstream map[string][]*attempt
	// usual is the median latency of responses for objects that the upstream had
	// seen before, in milliseconds, by service.
	usual map[string]float64
}

// attempt is an attempt to send a request to an upstream.
type attempt struct {
	logline.Line
	began time.Time
	// first is set if no earlier attempt at the same upstream had the same key.
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

// prepare sorts and groups the attempts, marks the first attempts and computes the
// usual latencies.
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
	h.usual = h.usualLatencies()
}

// usualLatencies returns the median latency of responses for objects that the
// upstream had seen before, in milliseconds, by service.
func (h *history) usualLatencies() map[string]float64 {
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

// report returns the sums over all counted requests.
func (h *history) report(o Options) Report {
	r := Report{
		Lost: map[Cause]Sum{}, Routes: map[string]Group{}, Zones: map[string]Group{}, Seconds: map[int]Group{},
		FirstLoads: map[string]int{}, Objects: map[string]int{},
	}
	for _, f := range h.finals {
		if !isCounted(f) {
			continue
		}
		weight := o.weight(f.Priority)
		cause := h.cause(f, o.RTT)
		lost := weight * lostFraction(cause, o.LateFraction)
		second := int(f.Time.Sub(h.finals[0].Time) / time.Second)
		r.Total.add(weight)
		addLost(r.Lost, cause, lost)
		addToGroup(r.Routes, f.Route, weight, cause, lost)
		addToGroup(r.Zones, f.HostZone, weight, cause, lost)
		addToGroup(r.Seconds, second, weight, cause, lost)
	}
	h.countObjects(r)
	return r
}

// countObjects counts the distinct objects and the first requests for an object at an
// upstream.
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

// isCounted reports whether a request is part of the report. A request is not counted if the
// client disconnected, or if the request is invalid, incomplete or too large or has no route.
func isCounted(f logline.Line) bool {
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

func addLost(lost map[Cause]Sum, c Cause, weight float64) {
	if c == None {
		return
	}
	s := lost[c]
	s.add(weight)
	lost[c] = s
}

func addToGroup[K cmp.Ordered](groups map[K]Group, key K, weight float64, c Cause, lost float64) {
	g := groups[key]
	if g.Lost == nil {
		g.Lost = map[Cause]Sum{}
	}
	g.Total.add(weight)
	addLost(g.Lost, c, lost)
	groups[key] = g
}

// byLostWeight returns the causes, sorted by the lost weight in descending order.
func byLostWeight(lost map[Cause]Sum) []Cause {
	return slices.SortedFunc(maps.Keys(lost), func(a, b Cause) int {
		return cmp.Or(cmp.Compare(lost[b].Weight, lost[a].Weight), cmp.Compare(a, b))
	})
}
