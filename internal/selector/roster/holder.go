package roster

import (
	"strconv"
	"time"
)

// settleStepInterval is the resolution of SettleStep in time. It equals the interval of
// the host's control loop (package entry's tick), which calls SettleStep.
const settleStepInterval = 250 * time.Millisecond

// Holder determines which slots one host may currently use. It is not safe for
// concurrent use. The current time is passed to its methods.
//
// A host uses a slot only if every roster of its chain, from the last settled roster
// to the newest one, assigns the slot to the host. The host then held the slot before,
// and no other host has been assigned the slot since. A roster is settled, and the
// older rosters are dropped, when every other member has acknowledged its epoch and
// no request of a dead member can still be outstanding (docs/design/slots.md).
type Holder struct {
	host        string
	incarnation string
	// chain contains the rosters from the last settled one to the current one.
	chain []Roster
	// lastDeathAt is when this host last observed that a member died or was replaced;
	// zero means never. From this time on, requests of that member can be outstanding
	// for the duration of their deadline.
	lastDeathAt time.Time
	// acks contains the epoch that each member last acknowledged, by host.
	acks map[string]uint64
}

// NewHolder returns the state of a host that does not hold any slots yet.
func NewHolder(host, incarnation, zone string) *Holder {
	return &Holder{
		host:        host,
		incarnation: incarnation,
		chain:       []Roster{{Zone: zone}},
		acks:        map[string]uint64{},
	}
}

// Current returns the newest observed roster.
func (h *Holder) Current() Roster { return h.chain[len(h.chain)-1] }

// Observe adds a roster to the chain if its epoch is higher than the current one. It
// reports whether the roster was added.
func (h *Holder) Observe(r Roster, now time.Time) bool {
	before := h.Current()
	if r.Epoch <= before.Epoch {
		return false
	}
	if hasNewDeath(before, r, h.host) {
		h.lastDeathAt = now
	}
	h.chain = append(h.chain, r)
	return true
}

// Replaced records that the previous incarnation of this host was still a member when
// this incarnation joined. Requests of the previous incarnation may be outstanding.
func (h *Holder) Replaced(now time.Time) { h.lastDeathAt = now }

// hasNewDeath reports whether a member died between two rosters: it became Dead, or it is
// another host than self and has a new incarnation. A member that was already Dead in
// the first roster died earlier.
func hasNewDeath(before, after Roster, self string) bool {
	for _, m := range after.Members {
		old, known := before.Member(m.Host)
		if known && old.State == Dead {
			continue
		}
		replaced := known && m.Host != self && m.Incarnation != old.Incarnation
		if m.State == Dead || replaced {
			return true
		}
	}
	return false
}

// Ack records that a member has acknowledged an epoch: it uses only slots that it keeps
// under the roster of that epoch.
func (h *Holder) Ack(host, incarnation string, epoch uint64) {
	m, ok := h.Current().Member(host)
	if ok && m.Incarnation == incarnation {
		h.acks[host] = epoch
	}
}

// Settle drops all rosters but the current one if the current roster is settled for all
// services. It reports whether rosters were dropped. maxDeadline is the longest
// deadline of any service.
func (h *Holder) Settle(now time.Time, maxDeadline time.Duration) bool {
	if !h.settledFor(now, maxDeadline) {
		return false
	}
	h.chain = []Roster{h.Current()}
	return true
}

// settledFor reports whether the older rosters of the chain can be ignored for a service
// with the given maximum deadline: every other member uses the current roster, and all
// requests of dead members are past their deadlines.
func (h *Holder) settledFor(now time.Time, deadline time.Duration) bool {
	deadRequestsExpired := h.lastDeathAt.IsZero() || now.Sub(h.lastDeathAt) >= deadline
	return !h.Settled() && h.acked() && deadRequestsExpired
}

// acked reports whether every other live member has acknowledged the current epoch.
func (h *Holder) acked() bool {
	cur := h.Current()
	for _, m := range cur.Members {
		if m.Host == h.host || m.State == Dead {
			continue
		}
		// An acknowledgement of a higher epoch is not sufficient: under that epoch
		// the member may have kept a slot that the current roster reassigns.
		if h.acks[m.Host] != cur.Epoch {
			return false
		}
	}
	return true
}

// SettleStep returns a number that changes whenever a slot may have become usable. The
// number is 0 until all members have acknowledged the current epoch. After that it
// increases with every settleStepInterval since the last death, because services settle
// one after another according to their deadlines.
func (h *Holder) SettleStep(now time.Time) int {
	if h.Settled() || !h.acked() {
		return 0
	}
	if h.lastDeathAt.IsZero() {
		return 1
	}
	return 1 + int(now.Sub(h.lastDeathAt)/settleStepInterval)
}

// activeIn reports whether this incarnation is an active member of a roster.
func (h *Holder) activeIn(r Roster) bool {
	m, ok := r.Member(h.host)
	return ok && m.State == Active && m.Incarnation == h.incarnation
}

// bindingRosters returns the rosters that must all assign a slot to this host before
// the host may use it, for a service with the given maximum deadline.
func (h *Holder) bindingRosters(now time.Time, deadline time.Duration) []Roster {
	if h.settledFor(now, deadline) {
		return h.chain[len(h.chain)-1:]
	}
	return h.chain
}

// Held returns the slots of an upstream that this host may currently use. slots is the
// number of the upstream's slots and deadline is the longest deadline of its service.
func (h *Holder) Held(upstream string, slots int, deadline time.Duration, now time.Time) SlotSet {
	set := ^SlotSet(0)
	for _, r := range h.bindingRosters(now, deadline) {
		if !h.activeIn(r) {
			return 0
		}
		set = set.And(r.owned(h.host, upstream, slots))
	}
	return set
}

// Share returns this host's share of n units that the hosts of a zone share, such as a
// rule's in-flight limit. deadline is the longest deadline of the rule's service.
func (h *Holder) Share(key string, n int, deadline time.Duration, now time.Time) int {
	rosters := h.bindingRosters(now, deadline)
	count := 0
	for i := range n {
		if h.ownsUnit(key+"#"+strconv.Itoa(i), rosters) {
			count++
		}
	}
	return count
}

// ownsUnit reports whether all rosters assign a unit to this host.
func (h *Holder) ownsUnit(key string, rosters []Roster) bool {
	for _, r := range rosters {
		if !h.activeIn(r) || owner(key, r.Active()) != h.host {
			return false
		}
	}
	return true
}

// Fraction returns this host's share, from 0 to 1, of a rate that the hosts of a zone
// share evenly, such as a number of requests per second. It is the minimum over the
// binding rosters.
func (h *Holder) Fraction(now time.Time, deadline time.Duration) float64 {
	fraction := 1.0
	for _, r := range h.bindingRosters(now, deadline) {
		if !h.activeIn(r) {
			return 0
		}
		fraction = min(fraction, 1/float64(len(r.Active())))
	}
	return fraction
}

// Settled reports whether only the current roster is in use.
func (h *Holder) Settled() bool { return len(h.chain) == 1 }

// Incarnation returns the incarnation under which this host holds slots.
func (h *Holder) Incarnation() string { return h.incarnation }
