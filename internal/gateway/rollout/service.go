package rollout

import (
	"time"

	"cairndock/internal/gateway/upstream"
)

// suspendTime is how long a reply that suspends the target applies. Replies repeat it until
// the roll-out is rolled back.
const suspendTime = 2 * time.Second

// serviceState is the state of a service that has or had a roll-out.
type serviceState struct {
	// record is the progress; of an order that no host has recorded yet, its first record.
	record Record
	// stored is the record that the store was last known to have; nil if none was.
	stored *Record
	// unsaved is set if the record is not in the store as it is here.
	unsaved   bool
	withdrawn bool
	observer  *observer
	// confirmed is the revision for which this host has confirmed that no request is in
	// flight at other versions.
	confirmed      int64
	suspendedUntil time.Time
	slow           thresholds

	// plan is the plan for planned, the list of the service's upstreams, and for the
	// cautious flag.
	plan     *Plan
	planned  []*upstream.Upstream
	cautious bool
}

// planFor returns the plan for the service's upstreams. It is made anew only if the list is
// another one, because making it takes time for each of them.
func (s *serviceState) planFor(list []*upstream.Upstream, cautious bool) *Plan {
	if s.plan == nil || s.cautious != cautious || !isSameList(s.planned, list) {
		s.plan, s.planned, s.cautious = newPlan(s.record, s.withdrawn, cautious, list), list, cautious
	}
	return s.plan
}

// isSameList reports whether two immutable lists are one.
func isSameList(a, b []*upstream.Upstream) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// replace replaces the record.
func (s *serviceState) replace(r Record, unsaved bool) {
	if !s.record.isSame(r.Order) {
		lost := s.observer.lost
		s.observer, s.slow = newObserver(r.Order), thresholds{}
		s.observer.lost = lost
	}
	s.record, s.unsaved, s.plan = r, unsaved, nil
}

// isCautious reports whether the target gets no requests although its phase allows some. A
// host that has confirmed that it sends nothing to other versions stays with that.
func (s *serviceState) isCautious(fresh bool, now time.Time) bool {
	suspended := now.Before(s.suspendedUntil)
	if s.record.Phase == Shift {
		return suspended && s.confirmed != s.record.Revision
	}
	return suspended || !fresh || s.unsaved
}
