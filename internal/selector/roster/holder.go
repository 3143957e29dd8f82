package roster

import (
	"strconv"
	"time"
)

// settleTick is how finely SettleStep divides the time since a death: the pace
// of the host's own loop (package entry's tick), which asks for it.
const settleTick = 250 * time.Millisecond

// Holder is which slots one host may use now. It has no lock; the caller passes
// in the time.
//
// A host uses a slot only when it falls to the host in each roster of its chain,
// from the last settled one to the newest: the host had it before, and no other
// host was given it since. A roster is settled here, and the older ones are
// dropped, when each other member has acknowledged its epoch and no request of a
// dead member can be outstanding any more (docs/design/slots.md).
type Holder struct {
	host        string
	incarnation string
	// chain runs from the last settled roster to the current one.
	chain []Roster
	// deathAt is when this host last saw a member gone or replaced; zero is
	// never. That member's requests may be outstanding for a deadline since.
	deathAt time.Time
	// acks are the epochs that members last acknowledged, by host.
	acks map[string]uint64
}

// NewHolder makes the state of a host that holds no slot yet.
func NewHolder(host, incarnation, zone string) *Holder {
	return &Holder{
		host:        host,
		incarnation: incarnation,
		chain:       []Roster{{Zone: zone}},
		acks:        map[string]uint64{},
	}
}

// Current is the newest roster seen.
func (h *Holder) Current() Roster { return h.chain[len(h.chain)-1] }

// Observe adds a roster to the chain, unless one as new is known, and reports
// whether it did.
func (h *Holder) Observe(r Roster, now time.Time) bool {
	before := h.Current()
	if r.Epoch <= before.Epoch {
		return false
	}
	if hasDead(before, r, h.host) {
		h.deathAt = now
	}
	h.chain = append(h.chain, r)
	return true
}

// Replaced notes that this host's earlier incarnation was still a member when
// this one joined: that one's requests may be outstanding.
func (h *Holder) Replaced(now time.Time) { h.deathAt = now }

// hasDead reports whether a member died between two rosters: it is gone, or
// another host has a new incarnation. One that was gone before died earlier.
func hasDead(before, after Roster, self string) bool {
	for _, m := range after.Members {
		old, known := before.Member(m.Host)
		if known && old.State == Gone {
			continue
		}
		replaced := known && m.Host != self && m.Incarnation != old.Incarnation
		if m.State == Gone || replaced {
			return true
		}
	}
	return false
}

// Ack notes that a member uses no slot beyond those it keeps by an epoch.
func (h *Holder) Ack(host, incarnation string, epoch uint64) {
	m, ok := h.Current().Member(host)
	if ok && m.Incarnation == incarnation {
		h.acks[host] = epoch
	}
}

// Settle drops all rosters but the current one once that is settled at every
// service, and reports whether it did. longest is the longest deadline of any
// service.
func (h *Holder) Settle(now time.Time, longest time.Duration) bool {
	if !h.settledFor(now, longest) {
		return false
	}
	h.chain = []Roster{h.Current()}
	return true
}

// settledFor reports whether the older rosters of the chain no longer count for a
// service whose requests last a deadline at most: every other member keeps to
// the current one, and all requests of dead ones are past their deadlines.
func (h *Holder) settledFor(now time.Time, deadline time.Duration) bool {
	deadRequestsOver := h.deathAt.IsZero() || now.Sub(h.deathAt) >= deadline
	return !h.Settled() && h.acked() && deadRequestsOver
}

// acked reports whether each other member that lives has acknowledged the
// current epoch.
func (h *Holder) acked() bool {
	cur := h.Current()
	for _, m := range cur.Members {
		if m.Host == h.host || m.State == Gone {
			continue
		}
		// A member at a higher epoch does not count: it may have kept, by
		// that epoch, a slot that this one gives away.
		if h.acks[m.Host] != cur.Epoch {
			return false
		}
	}
	return true
}

// SettleStep gives a number that changes whenever a slot may have become usable:
// not until all members have acknowledged, and then at each settleTick since the
// last death, as services settle one by one by their deadlines.
func (h *Holder) SettleStep(now time.Time) int {
	if h.Settled() || !h.acked() {
		return 0
	}
	if h.deathAt.IsZero() {
		return 1
	}
	return 1 + int(now.Sub(h.deathAt)/settleTick)
}

// activeIn reports whether this incarnation is an active member of a roster.
func (h *Holder) activeIn(r Roster) bool {
	m, ok := r.Member(h.host)
	return ok && m.State == Active && m.Incarnation == h.incarnation
}

// binding gives the rosters that must all give a slot to this host, for a service
// whose requests last a deadline at most.
func (h *Holder) binding(now time.Time, deadline time.Duration) []Roster {
	if h.settledFor(now, deadline) {
		return h.chain[len(h.chain)-1:]
	}
	return h.chain
}

// Held gives the slots of an upstream that this host may use now, of as many as
// the upstream has. deadline is the longest of its service.
func (h *Holder) Held(upstream string, slots int, deadline time.Duration, now time.Time) SlotSet {
	set := ^SlotSet(0)
	for _, r := range h.binding(now, deadline) {
		if !h.activeIn(r) {
			return 0
		}
		set = set.And(r.owned(h.host, upstream, slots))
	}
	return set
}

// Part gives this host's part of n units that a zone shares, such as a rule's
// in-flight limit. deadline is the longest of the rule's service.
func (h *Holder) Part(key string, n int, deadline time.Duration, now time.Time) int {
	rosters := h.binding(now, deadline)
	count := 0
	for i := range n {
		if h.ownsUnit(key+"#"+strconv.Itoa(i), rosters) {
			count++
		}
	}
	return count
}

// ownsUnit reports whether all rosters give a unit to this host.
func (h *Holder) ownsUnit(key string, rosters []Roster) bool {
	for _, r := range rosters {
		if !h.activeIn(r) || owner(key, r.Active()) != h.host {
			return false
		}
	}
	return true
}

// Fraction gives this host's even part, 0 to 1, of something that a zone shares
// by rate, such as requests per second: the least by the rosters that bind.
func (h *Holder) Fraction(now time.Time, deadline time.Duration) float64 {
	fraction := 1.0
	for _, r := range h.binding(now, deadline) {
		if !h.activeIn(r) {
			return 0
		}
		fraction = min(fraction, 1/float64(len(r.Active())))
	}
	return fraction
}

// Settled reports whether no roster counts here but the current one.
func (h *Holder) Settled() bool { return len(h.chain) == 1 }

// Incarnation is the incarnation this host holds slots under.
func (h *Holder) Incarnation() string { return h.incarnation }
