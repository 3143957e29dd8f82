package rollout

import (
	"slices"
	"time"
)

// Phase is the progress of a roll-out.
type Phase string

const (
	// Canary sends a small fraction of the requests to a few upstreams of the target.
	Canary Phase = "canary"
	// Ramp sends a larger fraction to more upstreams of the target. It is short, and shows
	// how the target behaves under the usual load.
	Ramp Phase = "ramp"
	// Shift sends all requests to the target. Requests in flight at other versions are
	// completed.
	Shift Phase = "shift"
	// Succeeded is final: only the target gets requests.
	Succeeded Phase = "succeeded"
	// RolledBack is final: the target gets no requests.
	RolledBack Phase = "rolled-back"
)

// ranks orders the phases. A roll-out never returns to a phase of a lower rank.
var ranks = map[Phase]int{Canary: 1, Ramp: 2, Shift: 3, Succeeded: 4, RolledBack: 4}

// Valid reports whether the phase is one of the above.
func (p Phase) Valid() bool { return ranks[p] > 0 }

// Final reports whether the roll-out has ended.
func (p Phase) Final() bool { return p == Succeeded || p == RolledBack }

// Record is the progress of a roll-out as it is stored (JSON). It is immutable.
type Record struct {
	Order
	Phase Phase `json:"phase"`
	// Fraction is the fraction of the requests, by key, that go to the target in the
	// phases Canary and Ramp.
	Fraction float64 `json:"fraction,omitempty"`
	// Requests is the fraction of the requests that these keys are expected to have, which
	// decides how many upstreams get them; zero if it is not known.
	Requests float64 `json:"requests,omitempty"`
	// StartedAt and ChangedAt are when the roll-out began and when its phase or fraction
	// last changed, in milliseconds of the store's clock.
	StartedAt int64 `json:"started_ms"`
	ChangedAt int64 `json:"changed_ms"`
	// Replaced are the versions that a successful roll-out has replaced.
	Replaced []string `json:"replaced,omitempty"`
	// Excluded are the targets of earlier orders that did not succeed. They get no
	// requests.
	Excluded []string `json:"excluded,omitempty"`
	// Reason is one sentence about why the roll-out is in this phase.
	Reason string `json:"reason,omitempty"`
	// Revision is the version number of the record's row; zero if it is not stored.
	Revision int64 `json:"-"`
}

// newRecord returns the first record of an order. previous is the record of the service's
// last order, if there was one. Its target stays excluded unless it succeeded or is ordered
// again.
func newRecord(o Order, previous *Record, now int64) Record {
	r := Record{Order: o, Phase: Canary, StartedAt: now, ChangedAt: now}
	if previous == nil {
		return r
	}
	r.Revision = previous.Revision
	r.Excluded = slices.Clone(previous.Excluded)
	if previous.Phase != Succeeded {
		r.Excluded = append(r.Excluded, previous.Target)
	}
	r.Excluded = slices.DeleteFunc(r.Excluded, func(version string) bool { return version == o.Target })
	slices.Sort(r.Excluded)
	r.Excluded = slices.Compact(r.Excluded)
	return r
}

// WithPhase returns the record in another phase.
func (r Record) WithPhase(p Phase, reason string, now int64) Record {
	r.Phase, r.Reason, r.ChangedAt = p, reason, now
	if p != Canary && p != Ramp {
		r.Fraction, r.Requests = 0, 0
	}
	return r
}

// WithFraction returns the record with another fraction of the keys, which are expected to have
// a fraction of the requests; zero if that is not known.
func (r Record) WithFraction(f, requests float64, now int64) Record {
	r.Fraction, r.Requests, r.ChangedAt = f, requests, now
	return r
}

// WithReplaced returns the record with the versions that were replaced.
func (r Record) WithReplaced(versions []string) Record {
	r.Replaced = slices.Clone(versions)
	return r
}

// after returns the time since a time of the record.
func after(then, now int64) time.Duration { return time.Duration(now-then) * time.Millisecond }

// mayFollow reports whether a record may follow another one of the same order. A roll-out
// never returns to an earlier phase, whatever a restored store contains.
func (r Record) mayFollow(known Record) bool {
	if known.Phase.Final() {
		return r.Phase == known.Phase
	}
	return ranks[r.Phase] >= ranks[known.Phase]
}
