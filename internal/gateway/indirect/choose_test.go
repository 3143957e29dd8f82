package indirect

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	sameZone    = Host{Name: "a", Zone: "z1", Region: "r1", Room: 100}
	sameZone2   = Host{Name: "b", Zone: "z1", Region: "r1", Room: 300}
	sameRegion  = Host{Name: "c", Zone: "z2", Region: "r1", Room: 100}
	otherRegion = Host{Name: "d", Zone: "z3", Region: "r2", Room: 100}
)

func withRoom(h Host, room int) Host {
	h.Room = room
	return h
}

func TestChoose(t *testing.T) {
	for _, c := range []struct {
		name  string
		hosts []Host
		rate  int
		want  []string
	}{
		{"near hosts first", []Host{otherRegion, sameRegion, sameZone}, 10, []string{"a", "c", "d"}},
		{"hosts without room are left out", []Host{withRoom(sameZone, 0), withRoom(sameRegion, -5), otherRegion}, 10, []string{"d"}},
		{"no host", nil, 10, nil},
		{"no more than are asked for", []Host{sameZone, sameRegion, otherRegion, withRoom(otherRegion, 1)}, 10, []string{"a", "c", "d"}},
		{"a sender without requests yet", []Host{otherRegion, sameZone}, 0, []string{"a", "d"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var names []string
			for _, h := range Choose(c.hosts, Sender{Zone: "z1", Region: "r1", Rate: c.rate}, 3) {
				names = append(names, h.Name)
			}
			require.Equal(t, c.want, names)
		})
	}
}

func TestChooseSharesInProportionToTheRoom(t *testing.T) {
	for _, c := range []struct {
		name  string
		hosts []Host
		rate  int
		// shares are the expected shares of the first places.
		shares map[string]float64
	}{
		{"within a zone", []Host{sameZone, sameZone2, sameRegion}, 100, map[string]float64{"a": 0.25, "b": 0.75}},
		{"a zone without enough room is extended", []Host{sameZone, sameRegion, otherRegion}, 100, map[string]float64{"a": 0.5, "c": 0.5}},
		{"no tier has enough room", []Host{sameZone, sameZone2, otherRegion}, 1000, map[string]float64{"a": 0.2, "b": 0.6, "d": 0.2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			const draws = 4000
			first := map[string]float64{}
			for range draws {
				first[Choose(c.hosts, Sender{Zone: "z1", Region: "r1", Rate: c.rate}, 1)[0].Name] += 1.0 / draws
			}
			require.Len(t, first, len(c.shares))
			for name, share := range c.shares {
				require.InDelta(t, share, first[name], 0.05, name)
			}
		})
	}
}

// BenchmarkChoose measures a request of an isolated host that knows the hosts of a large region
// and two of each other one.
func BenchmarkChoose(b *testing.B) {
	var hosts []Host
	for i := range 300 {
		h := []Host{sameZone, sameRegion, otherRegion}[i%3]
		h.Name = strconv.Itoa(i)
		hosts = append(hosts, h)
	}
	for b.Loop() {
		Choose(hosts, Sender{Zone: "z1", Region: "r1", Rate: 1000}, 3)
	}
}
