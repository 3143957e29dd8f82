package configcheck

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/route"
)

// randomPath returns a path of few segments, so that many prefixes and requests meet.
func randomPath(r *rand.Rand) string {
	var b strings.Builder
	b.WriteByte('/')
	for range r.IntN(4) {
		fmt.Fprintf(&b, "%c/", 'a'+rune(r.IntN(2)))
	}
	return b.String()
}

// Guards against a route that is called unreachable although requests match it, and against
// one that is not although none does.
func TestUnreachableRoutesAreThoseThatNoRequestMatches(t *testing.T) {
	hosts := []string{"a.example", "b.example", "c/d", "e f"}
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		d := Document{Names: names}
		for i := range 2 + r.IntN(40) {
			d.Routes = append(d.Routes, route.Route{
				Name: fmt.Sprintf("r-%02d", i), Host: hosts[r.IntN(len(hosts))], Prefix: randomPath(r), Timeout: 1,
				Backends: []route.Backend{{Service: "s", Weight: 1}},
			})
		}
		reported := map[string]bool{}
		for _, f := range Warnings(d, nil) {
			if f.Code == unreachable {
				reported[strings.Split(f.Place, ".")[1]] = true
			}
		}
		table := route.NewTable(1, d.Routes, nil, route.Limits{})
		for range 10_000 {
			if got, ok := table.Match(hosts[r.IntN(2)], randomPath(r)+"x"); ok {
				require.False(t, reported[got.Name], "seed %d: %s", seed, got.Name)
			}
		}
		for _, want := range d.Routes {
			if got, ok := table.Match(want.Host, want.Prefix); !reported[want.Name] {
				require.True(t, ok)
				require.Equal(t, want.Name, got.Name, "seed %d", seed)
			}
		}
	}
}
