package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cairndock/internal/gateway/upstream"
)

// An upstream responds more slowly to the first request for an object, whatever its version.
// A host knows which objects it has requested at an upstream itself, and not which ones other
// hosts have. A response that may be to a first request is therefore slow only if it takes
// longer than those usually take.

const (
	// firstLoadFactor is the multiple of the other versions' typical latency from which on
	// the response to a request is slow that may be the first one for its object at its
	// upstream. Such responses take three to four times the typical latency, whatever the
	// version, and longer where several objects are loaded at once.
	firstLoadFactor = 5
	// maxObjects bounds the objects that a host remembers, each at one upstream, to about
	// 1 MB. Requests for further ones count as possible first ones.
	maxObjects = 1 << 16
)

// requestKind says whether a request may be the first one for its object at its upstream. It is zero
// for a request without an object, or one whose object is not known.
type requestKind uint8

const (
	// possiblyFirst is a request for an object that this host has not requested there
	// before. Other hosts may have.
	possiblyFirst requestKind = iota + 1
	// repeated is a request for an object that this host has requested there before.
	repeated
)

// objects are the objects that a host has requested, each at one upstream.
type objects map[uint64]struct{}

// add adds an object at an upstream, and returns what it means for the request.
func (s objects) add(object string, run upstream.Run) requestKind {
	id := xxhash.Sum64String(string(run) + "\x00" + object)
	if _, known := s[id]; known {
		return repeated
	}
	if len(s) < maxObjects {
		s[id] = struct{}{}
	}
	return possiblyFirst
}

// SetObject records which object the attempt requests. It is not called for a request without
// affinity, whose upstream responds no faster to a repeated request.
func (a *Attempt) SetObject(object string) {
	if a == nil {
		return
	}
	o := a.observer
	o.mu.Lock()
	defer o.mu.Unlock()
	a.kind = o.objects.add(object, a.run)
}

// threshold returns the latency from which on the response to an attempt is slow, or zero if
// that is not known; o.mu is held.
func (o *observer) threshold(a *Attempt) time.Duration {
	byRoute := o.slow.Any
	switch {
	case a.kind == repeated && o.slow.Repeated != nil:
		byRoute = o.slow.Repeated
	case a.kind == possiblyFirst && o.slow.First != nil:
		byRoute = o.slow.First
	}
	return byRoute[a.route]
}
