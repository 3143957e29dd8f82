package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const longest = 20 * time.Second

func rosterOf(epoch uint64, hosts ...string) Roster {
	r := Roster{Zone: "z", Epoch: epoch}
	for _, h := range hosts {
		r.Members = append(r.Members, Member{Host: h, Incarnation: h + "-1", State: Active})
	}
	return r
}

func TestSlotsSplitWholeAndEven(t *testing.T) {
	hosts := make([]string, 74)
	for i := range hosts {
		hosts[i] = fmt.Sprintf("host-%d", i)
	}
	for _, n := range []int{1, 2, 9, 74} {
		r := rosterOf(1, hosts[:n]...)
		total, most := 0, 0
		for _, h := range hosts[:n] {
			held := 0
			for u := range 100 {
				held += r.owned(h, fmt.Sprintf("up-%d", u), 6).Count()
			}
			total += held
			most = max(most, held)
		}
		require.Equal(t, 600, total, "hosts %d", n)
		require.LessOrEqual(t, most, 3*600/n, "hosts %d", n)
	}
}

func TestDeadMembersSlotsRestForTheLongestDeadline(t *testing.T) {
	now := time.Now()
	h := NewHolder("a", "a-1", "z")
	h.Observe(rosterOf(1, "a", "b"), now)
	h.Ack("b", "b-1", 1)
	require.True(t, h.Settle(now, longest))
	before := h.Held("up", 64, longest, now).Count()
	require.Positive(t, before)
	require.Less(t, before, 64)

	h.Observe(rosterOf(1, "a", "b").WithState("b", Gone), now)
	short := 2 * time.Second
	require.Equal(t, before, h.Held("up", 64, short, now.Add(short-1)).Count())
	require.Equal(t, 64, h.Held("up", 64, short, now.Add(short)).Count(), "a service with short deadlines has its slots early")
	require.Equal(t, before, h.Held("up", 64, longest, now.Add(longest-1)).Count())
	require.False(t, h.Settle(now.Add(longest-1), longest))
	require.True(t, h.Settle(now.Add(longest), longest))
	require.Equal(t, 64, h.Held("up", 64, longest, now.Add(longest)).Count())
}

func TestReplacedIncarnationRestsFirst(t *testing.T) {
	now := time.Now()
	h := NewHolder("a", "a-2", "z")
	h.Observe(rosterOf(1, "a").WithMember(Member{Host: "a", Incarnation: "a-2", State: Active}), now)
	h.Replaced(now)
	require.Zero(t, h.Held("up", 6, longest, now.Add(longest-1)).Count())
	require.Equal(t, 6, h.Held("up", 6, longest, now.Add(longest)).Count())
}

func TestAckOfAnotherEpochDoesNotCount(t *testing.T) {
	now := time.Now()
	for _, epoch := range []uint64{0, 1, 3} {
		h := NewHolder("a", "a-1", "z")
		h.Observe(rosterOf(2, "a", "b"), now)
		h.Ack("b", "b-1", epoch)
		require.False(t, h.Settle(now, longest), "ack of %d for 2", epoch)
		require.Zero(t, h.Held("up", 6, longest, now))
	}
	h := NewHolder("a", "a-1", "z")
	h.Observe(rosterOf(2, "a", "b"), now)
	h.Ack("b", "another life", 2)
	require.False(t, h.Settle(now, longest))
}

// zoneModel is a zone whose hosts see rosters late, or not at all, whose
// acknowledgements travel slowly and whose requests last.
type zoneModel struct {
	now      time.Time
	rosters  []Roster
	holders  map[string]*Holder
	running  map[string]SlotSet // slots with a request, by host
	acked    map[string]uint64
	onTheWay []ack
}

type ack struct {
	from, to string
	epoch    uint64
}

const modelSlots = 24

// TestNoSlotIsInTwoHands runs random histories: whatever order rosters and
// acknowledgements come in, no slot is ever usable by two hosts, nor usable
// by one while another's request still runs on it.
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
		held := m.holders[host].Held("up", modelSlots, longest, m.now)
		m.running[host] |= held & SlotSet(rapid.Uint64().Draw(t, "begun"))
	case "end":
		m.running[host] &= SlotSet(rapid.Uint64().Draw(t, "left"))
	case "ack":
		h := m.holders[host]
		if m.running[host]&^h.Held("up", modelSlots, longest, m.now) == 0 {
			for _, to := range names {
				m.onTheWay = append(m.onTheWay, ack{host, to, h.Current().Epoch})
			}
		}
	case "deliver":
		if len(m.onTheWay) > 0 {
			i := rapid.IntRange(0, len(m.onTheWay)-1).Draw(t, "ack")
			a := m.onTheWay[i]
			m.holders[a.to].Ack(a.from, a.from+"-1", a.epoch)
			m.onTheWay = append(m.onTheWay[:i], m.onTheWay[i+1:]...)
		}
	case "settle":
		m.holders[host].Settle(m.now, longest)
	}
}

// nextRoster lets a host join, begin to leave or, when it is leaving, go.
// A member is only ever removed after it left.
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
			usableA := m.holders[a].Held("up", modelSlots, longest, m.now)
			usableB := m.holders[b].Held("up", modelSlots, longest, m.now)
			if usableA&usableB != 0 || usableA&m.running[b] != 0 || usableB&m.running[a] != 0 {
				t.Fatalf("%s and %s share slots: usable %b and %b, running %b and %b", a, b, usableA, usableB, m.running[a], m.running[b])
			}
		}
	}
}
