package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// maxDeadline is the maxDeadline deadline of any service in the tests.
const maxDeadline = 20 * time.Second

func rosterOf(epoch uint64, hosts ...string) Roster {
	r := Roster{Zone: "z", Epoch: epoch}
	for _, h := range hosts {
		r.Members = append(r.Members, Member{Host: h, Incarnation: h + "-1", State: Active})
	}
	return r
}

func TestSlotsAreSplitEvenly(t *testing.T) {
	hosts := make([]string, 74)
	for i := range hosts {
		hosts[i] = fmt.Sprintf("host-%d", i)
	}
	for _, n := range []int{1, 2, 9, 74} {
		r := rosterOf(1, hosts[:n]...)
		total, maxHeld := 0, 0
		for _, h := range hosts[:n] {
			held := 0
			for u := range 100 {
				held += r.owned(h, fmt.Sprintf("up-%d", u), 6).Count()
			}
			total += held
			maxHeld = max(maxHeld, held)
		}
		require.Equal(t, 600, total, "hosts %d", n)
		require.LessOrEqual(t, maxHeld, 3*600/n, "hosts %d", n)
	}
}

func TestSlotsOfADeadMemberAreUnusedUntilTheDeadline(t *testing.T) {
	now := time.Now()
	h := NewHolder("a", "a-1", "z")
	h.Observe(rosterOf(1, "a", "b"), now)
	h.Ack("b", "b-1", 1)
	require.True(t, h.Settle(now, maxDeadline))
	before := h.Held("up", 64, maxDeadline, now).Count()
	require.Positive(t, before)
	require.Less(t, before, 64)

	h.Observe(rosterOf(1, "a", "b").WithState("b", Dead), now)
	short := 2 * time.Second
	require.Equal(t, before, h.Held("up", 64, short, now.Add(short-1)).Count())
	require.Equal(t, 64, h.Held("up", 64, short, now.Add(short)).Count(), "a service with shorter deadlines can use the slots earlier")
	require.Equal(t, before, h.Held("up", 64, maxDeadline, now.Add(maxDeadline-1)).Count())
	require.False(t, h.Settle(now.Add(maxDeadline-1), maxDeadline))
	require.True(t, h.Settle(now.Add(maxDeadline), maxDeadline))
	require.Equal(t, 64, h.Held("up", 64, maxDeadline, now.Add(maxDeadline)).Count())
}

func TestSlotsOfAReplacedIncarnationAreUnusedUntilTheDeadline(t *testing.T) {
	now := time.Now()
	h := NewHolder("a", "a-2", "z")
	h.Observe(rosterOf(1, "a").WithMember(Member{Host: "a", Incarnation: "a-2", State: Active}), now)
	h.Replaced(now)
	require.Zero(t, h.Held("up", 6, maxDeadline, now.Add(maxDeadline-1)).Count())
	require.Equal(t, 6, h.Held("up", 6, maxDeadline, now.Add(maxDeadline)).Count())
}

func TestAckOfAnotherEpochDoesNotSettle(t *testing.T) {
	now := time.Now()
	for _, epoch := range []uint64{0, 1, 3} {
		h := NewHolder("a", "a-1", "z")
		h.Observe(rosterOf(2, "a", "b"), now)
		h.Ack("b", "b-1", epoch)
		require.False(t, h.Settle(now, maxDeadline), "ack of %d for 2", epoch)
		require.Zero(t, h.Held("up", 6, maxDeadline, now))
	}
	h := NewHolder("a", "a-1", "z")
	h.Observe(rosterOf(2, "a", "b"), now)
	h.Ack("b", "another incarnation", 2)
	require.False(t, h.Settle(now, maxDeadline))
}

// zoneModel is a model of a zone in which hosts observe rosters late or not at all,
// acknowledgements are delayed and requests take time.
type zoneModel struct {
	now       time.Time
	rosters   []Roster
	holders   map[string]*Holder
	running   map[string]SlotSet // slots with a running request, by host
	acked     map[string]uint64
	inTransit []ack
}

type ack struct {
	from, to string
	epoch    uint64
}

const modelSlots = 24

// TestNoSlotIsInTwoHands runs random histories and checks that a slot is never usable by
// two hosts, nor usable by one host while a request of another host runs on the slot,
// regardless of the order in which rosters and acknowledgements arrive.
func TestNoSlotIsInTwoHands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d"}
		m := &zoneModel{now: time.Now(), holders: map[string]*Holder{}, running: map[string]SlotSet{}, acked: map[string]uint64{}}
		m.rosters = []Roster{rosterOf(1, "a", "b")}
		for _, n := range names {
			m.holders[n] = NewHolder(n, n+"-1", "z")
		}
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			m.step(t, names)
			m.check(t, names)
		}
	})
}

func (m *zoneModel) step(t *rapid.T, names []string) {
	host := rapid.SampledFrom(names).Draw(t, "host")
	last := m.rosters[len(m.rosters)-1]
	switch rapid.SampledFrom([]string{"see", "see", "write", "begin", "end", "end", "ack", "deliver", "deliver", "settle", "settle"}).Draw(t, "step") {
	case "see":
		m.holders[host].Observe(rapid.SampledFrom(m.rosters).Draw(t, "roster"), m.now)
	case "write":
		m.rosters = append(m.rosters, nextRoster(t, last, host))
	case "begin":
		held := m.holders[host].Held("up", modelSlots, maxDeadline, m.now)
		m.running[host] |= held & SlotSet(rapid.Uint64().Draw(t, "begun"))
	case "end":
		m.running[host] &= SlotSet(rapid.Uint64().Draw(t, "left"))
	case "ack":
		h := m.holders[host]
		if m.running[host]&^h.Held("up", modelSlots, maxDeadline, m.now) == 0 {
			for _, to := range names {
				m.inTransit = append(m.inTransit, ack{host, to, h.Current().Epoch})
			}
		}
	case "deliver":
		if len(m.inTransit) > 0 {
			i := rapid.IntRange(0, len(m.inTransit)-1).Draw(t, "ack")
			a := m.inTransit[i]
			m.holders[a.to].Ack(a.from, a.from+"-1", a.epoch)
			m.inTransit = append(m.inTransit[:i], m.inTransit[i+1:]...)
		}
	case "settle":
		m.holders[host].Settle(m.now, maxDeadline)
	}
}

// nextRoster returns the next roster: a host that is not a member or is leaving becomes
// active, and an active host begins to leave unless it is the only active host.
func nextRoster(t *rapid.T, last Roster, host string) Roster {
	member, ok := last.Member(host)
	if !ok || member.State == Leaving {
		return last.WithMember(Member{Host: host, Incarnation: host + "-1", State: Active})
	}
	if len(last.Active()) < 2 {
		return last.WithState(host, Active)
	}
	return last.WithState(host, Leaving)
}

func (m *zoneModel) check(t *rapid.T, names []string) {
	for i, a := range names {
		for _, b := range names[i+1:] {
			usableA := m.holders[a].Held("up", modelSlots, maxDeadline, m.now)
			usableB := m.holders[b].Held("up", modelSlots, maxDeadline, m.now)
			if usableA&usableB != 0 || usableA&m.running[b] != 0 || usableB&m.running[a] != 0 {
				t.Fatalf("%s and %s share slots: usable %b and %b, running %b and %b", a, b, usableA, usableB, m.running[a], m.running[b])
			}
		}
	}
}
