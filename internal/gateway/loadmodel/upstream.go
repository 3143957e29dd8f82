package loadmodel

import (
	"slices"
	"time"

	"cairndock/internal/gateway/upstream"
)

// server is an upstream as it is.
type server struct {
	model *Model
	entry *upstream.Upstream
	setup Service
	// running and waiting are the requests that it works on, and that wait.
	running int
	waiting []*work
	// objects are those that it keeps, the last used at the end.
	objects []string
	// slow multiplies its work, shed is the part of its requests that it refuses,
	// and down makes it refuse connections.
	slow float64
	shed float64
	down bool
	// firstLoads counts the objects that it got and did not keep.
	firstLoads int
}

// work is one request at an upstream.
type work struct {
	route  *Route
	object string
	// done is told the response; canceled is set when nobody waits for it.
	done     func(response)
	canceled bool
	finish   *event
}

// response is what an upstream answers.
type response struct {
	// executed is false for a refusal.
	executed bool
	// running and waiting are the load that it reports.
	running, waiting int
}

// receive takes a request.
func (s *server) receive(w *work) {
	switch {
	case s.model.random.Float64() < s.shed, len(s.waiting) >= s.setup.Queue && s.running >= s.setup.Slots:
		s.answer(w, false)
	case s.running < s.setup.Slots:
		s.start(w)
	default:
		s.waiting = append(s.waiting, w)
	}
}

// start works on a request.
func (s *server) start(w *work) {
	s.running++
	took := float64(w.route.Work) * max(0.3, 1+w.route.Spread*s.model.random.NormFloat64()) * s.slow
	if s.knows(w.object) {
		took *= w.route.KnownPart
	}
	w.finish = s.model.clock.in(time.Duration(took), func() { s.end(w) })
}

// end answers a request and starts the next one.
func (s *server) end(w *work) {
	s.running--
	if !w.canceled {
		s.answer(w, true)
	}
	for len(s.waiting) > 0 && s.running < s.setup.Slots {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		if !next.canceled {
			s.start(next)
		}
	}
}

// cancel drops a request whose connection was closed.
func (s *server) cancel(w *work) {
	if w.canceled {
		return
	}
	w.canceled = true
	if w.finish != nil && !w.finish.canceled && w.finish.at.After(s.model.clock.now) {
		w.finish.cancel()
		s.end(w)
	}
}

func (s *server) answer(w *work, executed bool) {
	w.done(response{executed: executed, running: s.running, waiting: len(s.waiting)})
}

// knows reports whether the upstream keeps an object, and makes it keep it: it is
// fast on an object from the start of the first request on.
func (s *server) knows(object string) bool {
	if object == "" {
		return false
	}
	i := slices.Index(s.objects, object)
	if i >= 0 {
		s.objects = append(slices.Delete(s.objects, i, i+1), object)
		return true
	}
	s.firstLoads++
	s.objects = append(s.objects, object)
	if len(s.objects) > s.setup.Keeps {
		s.objects = s.objects[1:]
	}
	return false
}
