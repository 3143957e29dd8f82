package loadmodel

import (
	"slices"
	"time"

	"cairndock/internal/gateway/upstream"
)

// upstreamSim is a simulated upstream with its actual state, which hosts see only in
// its reports.
type upstreamSim struct {
	model  *Model
	entry  *upstream.Upstream
	config Service
	// running is the number of requests being processed; waiting is the queue.
	running int
	waiting []*job
	// objects is the cache of objects, with the most recently used one at the end.
	objects []string
	// slow multiplies the processing time, shed is the fraction of requests that the
	// upstream refuses at random, and down makes it refuse connections.
	slow float64
	shed float64
	down bool
	// silent makes it report no load, and idle makes it report none in use.
	silent, idle bool
	// firstLoads counts the requests for objects that were not in the cache.
	firstLoads int
	// arrivals counts the requests that arrived, and processing is the time for which slots
	// were in use.
	arrivals   int
	processing time.Duration
	// rollout is the roll-out of the service; nil without one.
	rollout *rolloutSim
}

// job is one request at an upstream.
type job struct {
	route  *Route
	object string
	// done receives the response; canceled is set when the host no longer waits for it.
	done     func(response)
	canceled bool
	// startedAt is when the upstream began to process the request.
	startedAt time.Time
	finish    *event
	// failed is set if the request fails at the upstream.
	failed bool
}

// response is the response of an upstream.
type response struct {
	// executed is false if the upstream refused the request.
	executed bool
	// failed is set if the request was processed and the response reports a failure.
	failed bool
	// running and waiting are the load that the upstream reports, in requests, if it
	// reports any.
	running, waiting int
	silent           bool
}

// receive starts, queues or refuses a request.
func (u *upstreamSim) receive(j *job) {
	u.model.result.Spread.arrived(u)
	u.countRollout()
	switch {
	case u.model.random.Float64() < u.shed, len(u.waiting) >= u.config.Queue && u.running >= u.config.Slots:
		u.respond(j, false)
	case u.running < u.config.Slots:
		u.start(j)
	default:
		u.waiting = append(u.waiting, j)
	}
}

// start begins to process a request.
func (u *upstreamSim) start(j *job) {
	u.running++
	duration := float64(j.route.Work) * max(0.3, 1+j.route.Spread*u.model.random.NormFloat64()) * u.slow
	if u.lookup(j.object) {
		duration *= j.route.CachedFraction
	}
	factor, failed := u.spoil(j)
	duration, j.failed = duration*factor, failed
	j.startedAt = u.model.clock.now
	j.finish = u.model.clock.after(time.Duration(duration), func() { u.complete(j) })
}

// complete responds to a request and starts the next one from the queue.
func (u *upstreamSim) complete(j *job) {
	u.running--
	u.processing += u.model.clock.now.Sub(j.startedAt)
	if !j.canceled {
		u.respond(j, true)
	}
	for len(u.waiting) > 0 && u.running < u.config.Slots {
		next := u.waiting[0]
		u.waiting = u.waiting[1:]
		if !next.canceled {
			u.start(next)
		}
	}
}

// cancel drops a request whose connection the host closed.
func (u *upstreamSim) cancel(j *job) {
	if j.canceled {
		return
	}
	j.canceled = true
	if j.finish != nil && !j.finish.canceled && j.finish.at.After(u.model.clock.now) {
		j.finish.cancel()
		u.complete(j)
	}
}

func (u *upstreamSim) respond(j *job, executed bool) {
	r := response{executed: executed, failed: executed && j.failed, running: u.running, waiting: len(u.waiting), silent: u.silent}
	if u.idle {
		r.running, r.waiting = 0, 0
	}
	j.done(r)
}

// lookup reports whether an object is in the cache, and adds it if not. The object
// counts as cached from the start of its first request on.
func (u *upstreamSim) lookup(object string) bool {
	if object == "" {
		return false
	}
	i := slices.Index(u.objects, object)
	if i >= 0 {
		u.objects = append(slices.Delete(u.objects, i, i+1), object)
		return true
	}
	u.firstLoads++
	u.objects = append(u.objects, object)
	if len(u.objects) > u.config.CacheSize {
		u.objects = u.objects[1:]
	}
	return false
}
