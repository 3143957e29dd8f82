// Package roster says which hosts of a zone share its upstreams' slots, and
// when a slot may pass from one host to another.
package roster

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cairndock/internal/selector/slot"
)

// State is a member's standing in its zone.
type State string

const (
	// Active members hold slots.
	Active State = "active"
	// Leaving members hold none any more, once they have acknowledged.
	Leaving State = "leaving"
	// Gone members are dead by the platform's host list. Their slots stay
	// unused until every request they can have sent has met its deadline.
	Gone State = "gone"
)

// Member is one entry host of a zone.
type Member struct {
	Host        string `msgpack:"h" json:"host"`
	Incarnation string `msgpack:"i" json:"incarnation"`
	PeerAddr    string `msgpack:"p" json:"peer_addr"`
	CallerAddr  string `msgpack:"c" json:"caller_addr"`
	State       State  `msgpack:"s" json:"state"`
}

// Roster is a zone's members at one epoch. It is immutable.
type Roster struct {
	Zone    string   `msgpack:"z" json:"zone"`
	Epoch   uint64   `msgpack:"e" json:"epoch"`
	Members []Member `msgpack:"m" json:"members"`
}

// Member gives the member of a host.
func (r Roster) Member(host string) (Member, bool) {
	for _, m := range r.Members {
		if m.Host == host {
			return m, true
		}
	}
	return Member{}, false
}

// WithMember gives the next epoch, with the member added or replaced.
func (r Roster) WithMember(m Member) Roster {
	next := r.Without(m.Host)
	next.Members = append(next.Members, m)
	slices.SortFunc(next.Members, func(a, b Member) int { return strings.Compare(a.Host, b.Host) })
	return next
}

// WithState gives the next epoch, with a member's state changed.
func (r Roster) WithState(host string, state State) Roster {
	m, ok := r.Member(host)
	if !ok {
		return r
	}
	m.State = state
	return r.WithMember(m)
}

// Without gives the next epoch, with the host's member removed.
func (r Roster) Without(host string) Roster {
	next := Roster{Zone: r.Zone, Epoch: r.Epoch + 1}
	for _, m := range r.Members {
		if m.Host != host {
			next.Members = append(next.Members, m)
		}
	}
	return next
}

// Active gives the hosts that hold slots, by name.
func (r Roster) Active() []string {
	var hosts []string
	for _, m := range r.Members {
		if m.State == Active {
			hosts = append(hosts, m.Host)
		}
	}
	return hosts
}

// Rank orders hosts by rendezvous hashing (highest random weight) on a key:
// every process computes the same order, and a host that comes or goes
// leaves the order of the others as it was.
func Rank(key string, hosts []string) []string {
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b string) int {
		wa, wb := weight(key, a), weight(key, b)
		switch {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		}
		return strings.Compare(a, b)
	})
	return ranked
}

func weight(key, host string) uint64 { return xxhash.Sum64String(key + "\x00" + host) }

// owner gives the host that a slot falls to, without allocating for a
// ranking.
func owner(key string, hosts []string) string {
	best, bestWeight := "", uint64(0)
	for _, h := range hosts {
		w := weight(key, h)
		if best == "" || w > bestWeight || (w == bestWeight && h < best) {
			best, bestWeight = h, w
		}
	}
	return best
}

// Owned gives the slots of an upstream that fall to a host.
func (r Roster) Owned(host, upstream string, slots int) slot.Set {
	var set slot.Set
	active := r.Active()
	for n := range slots {
		if owner(upstream+"#"+strconv.Itoa(n), active) == host {
			set = set.With(n)
		}
	}
	return set
}

// Holder is one host's part in its zone's roster: which slots it may use
// now. It is a plain state; the caller brings locks and time.
type Holder struct {
	host        string
	incarnation string
	// chain runs from the last settled roster to the current one. A slot is
	// used only when it falls to this host in every one of them: it was in
	// hand before, and nobody else was ever given it since.
	chain []Roster
	// deadSince is when this host last saw a member gone or replaced; its
	// requests may still be outstanding for the longest deadline.
	deadSince time.Time
	acks      map[string]uint64
}

// NewHolder makes the state of a host that holds nothing yet.
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

// See takes a roster in and reports whether it was new.
func (h *Holder) See(r Roster, now time.Time) bool {
	before := h.Current()
	if r.Epoch <= before.Epoch {
		return false
	}
	if hasDead(before, r, h.host) {
		h.deadSince = now
	}
	h.chain = append(h.chain, r)
	return true
}

// Replaced notes that this host's earlier incarnation was still a member
// when this one joined: its requests may be outstanding.
func (h *Holder) Replaced(now time.Time) { h.deadSince = now }

// hasDead reports whether a member died between two rosters.
func hasDead(before, after Roster, self string) bool {
	for _, m := range after.Members {
		old, known := before.Member(m.Host)
		if m.State == Gone && (!known || old.State != Gone) {
			return true
		}
		if known && m.Host != self && old.Incarnation != m.Incarnation && old.State != Gone {
			return true
		}
	}
	return false
}

// Ack notes that a member holds nothing beyond a roster's epoch.
func (h *Holder) Ack(host, incarnation string, epoch uint64) {
	m, ok := h.Current().Member(host)
	if ok && m.Incarnation == incarnation {
		h.acks[host] = epoch
	}
}

// Settle shortens the chain to the current roster once every other member
// has acknowledged exactly its epoch and no dead member's request can be
// outstanding at any service: longest is the longest deadline.
func (h *Holder) Settle(now time.Time, longest time.Duration) bool {
	if len(h.chain) == 1 || !h.acked() || !h.rested(now, longest) {
		return false
	}
	h.chain = []Roster{h.Current()}
	return true
}

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

func (h *Holder) rested(now time.Time, deadline time.Duration) bool {
	return h.deadSince.IsZero() || now.Sub(h.deadSince) >= deadline
}

// SettleStep changes whenever a slot may have become usable: not at all until
// all have acknowledged, and then every settleTick since the last death.
func (h *Holder) SettleStep(now time.Time) int {
	if len(h.chain) == 1 || !h.acked() {
		return 0
	}
	if h.deadSince.IsZero() {
		return 1
	}
	return 1 + int(now.Sub(h.deadSince)/settleTick)
}

// settleTick is how finely the time since a death is told.
const settleTick = 250 * time.Millisecond

// member reports whether this incarnation is an active member of r.
func (h *Holder) member(r Roster) bool {
	m, ok := r.Member(h.host)
	return ok && m.State == Active && m.Incarnation == h.incarnation
}

// usable gives the rosters that all must grant a slot of a service with the
// given longest deadline.
func (h *Holder) usable(now time.Time, deadline time.Duration) []Roster {
	if len(h.chain) > 1 && h.acked() && h.rested(now, deadline) {
		return h.chain[len(h.chain)-1:]
	}
	return h.chain
}

// Held gives the slots of an upstream that this host may use now.
func (h *Holder) Held(upstream string, slots int, deadline time.Duration, now time.Time) slot.Set {
	set := ^slot.Set(0)
	for _, r := range h.usable(now, deadline) {
		if !h.member(r) {
			return 0
		}
		set = set.And(r.Owned(h.host, upstream, slots))
	}
	return set
}

// Part gives this host's part of n units that a zone shares, such as a
// rule's in-flight limit.
func (h *Holder) Part(key string, n int, deadline time.Duration, now time.Time) int {
	rosters := h.usable(now, deadline)
	count := 0
	for i := range n {
		if h.ownsUnit(key+"#"+strconv.Itoa(i), rosters) {
			count++
		}
	}
	return count
}

func (h *Holder) ownsUnit(key string, rosters []Roster) bool {
	for _, r := range rosters {
		if !h.member(r) || owner(key, r.Active()) != h.host {
			return false
		}
	}
	return true
}

// Fraction gives this host's even part of something that a zone shares by
// rate, such as requests or bytes per second.
func (h *Holder) Fraction(now time.Time, deadline time.Duration) float64 {
	fraction := 1.0
	for _, r := range h.usable(now, deadline) {
		if !h.member(r) {
			return 0
		}
		fraction = min(fraction, 1/float64(len(r.Active())))
	}
	return fraction
}

// Settled reports whether the current roster is fully in force here.
func (h *Holder) Settled() bool { return len(h.chain) == 1 }

// Incarnation is the incarnation this host holds slots under.
func (h *Holder) Incarnation() string { return h.incarnation }
