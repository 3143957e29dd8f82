package configcheck

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/account"
	"cairndock/internal/gateway/route"
)

// Guards against differences that are missing, have another place or effect, or show a key.
func TestDifferences(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Document)
		want   []string
	}{
		{"none", func(*Document) {}, nil},
		{"newer version", func(d *Document) { d.Version = 8 }, []string{"difference version from 7 to 8"}},
		{"older version", func(d *Document) { d.Version = 6 }, []string{"error version 6 is not above 7, the version in force, and gateways ignore the configuration"}},
		{"small shift", func(d *Document) { d.Routes[0].Backends = weights(9, 11) }, []string{
			"difference routes.a.backends from s:3,t:1 to s:9,t:11; a.example/a/: 0.3 of the requests move from service \"s\" to service \"t\"",
			"warning routes.a.backends a.example/a/: 0.3 of the requests move at once, more than 0.15"}},
		{"shift at the bound", func(d *Document) { d.Routes[0].Backends = weights(60, 40) }, []string{
			"difference routes.a.backends from s:3,t:1 to s:60,t:40; a.example/a/: 0.15 of the requests move from service \"s\" to service \"t\""}},
		{"same weights", func(d *Document) { d.Routes[0].Backends = weights(6, 2) }, []string{
			"difference routes.a.backends from s:3,t:1 to s:6,t:2; a.example/a/: no request moves to another service"}},
		{"longer route removed", func(d *Document) { d.Routes = d.Routes[:1] }, []string{
			"difference routes.b a.example/a/b/: 0.25 of the requests move from service \"s\" to service \"t\"",
			"warning routes.b a.example/a/b/: 0.25 of the requests move at once, more than 0.15"}},
		{"route moved", func(d *Document) { d.Routes[1].Host = "b.example" }, []string{
			"difference routes.b.host from a.example/a/b/ to b.example/a/b/; a.example/a/b/: 0.25 of the requests move from service \"s\" to service \"t\"",
			"warning routes.b.host a.example/a/b/: 0.25 of the requests move at once, more than 0.15",
			"difference routes.b.host from a.example/a/b/ to b.example/a/b/; b.example/a/b/: 1 of the requests move from no route (404) to service \"s\""}},
		{"timeout", func(d *Document) { d.Routes[0].Timeout = time.Second }, []string{"difference routes.a.timeout from 2000 ms to 1000 ms; requests that take longer than that fail now"}},
		{"regions", func(d *Document) { d.Routes[0].Regions = []string{"sierra"} }, []string{"difference routes.a.regions from costa to sierra; no longer served in costa"}},
		{"public", func(d *Document) { d.Routes[0].Public = true }, []string{"difference routes.a.public from false to true; requests need no key"}},
		{"kind", func(d *Document) { d.Routes[0].Repeat = route.Repeatable }, []string{"difference routes.a.kind from requests that run at most once to requests that may be repeated"}},
		{"service added", func(d *Document) { d.Services = append(d.Services, route.Service{Name: "u"}) }, []string{"difference services.u its upstreams may get requests"}},
		{"warm-up", func(d *Document) { d.Services = []route.Service{{Name: "s", WarmUpRate: 4}} }, []string{
			"difference services.s.warmup_rate cold upstreams get 4, before 0 requests per second", "difference services.t its upstreams get no request"}},
		{"limit of a header", func(d *Document) { d.Limits.HeaderBytes = 25 }, []string{"difference limits.header_bytes bytes of a header: 25, before 100 (0.75 lower)"}},
		{"rate", func(d *Document) { d.Accounts[0].Account.Rate = 4 }, []string{"difference accounts.x.rate requests per second: 4, before 5 (0.2 lower)"}},
		{"burst", func(d *Document) { d.Accounts[0].Account.Burst = 2 }, []string{"difference accounts.x.burst requests at once: 2, before 1 (1 higher)"}},
		{"homes", func(d *Document) { d.Accounts[0].Account.Regions = nil }, []string{"difference accounts.x.regions from costa to any region"}},
		{"key", func(d *Document) { d.Accounts[0].Keys = []string{"", "abc"} }, []string{
			"difference accounts.x.keys keys that stop working: 1 (0123…)", "difference accounts.x.keys keys that begin to work: 1 (a…)"}},
		{"key moved", func(d *Document) {
			d.Accounts[0].Keys = nil
			d.Accounts = append(d.Accounts, account.Entry{Keys: []string{"0123456789"}, Account: account.Account{Name: "y"}})
		}, []string{"difference accounts.x.keys keys that move to another account: 1 (0123… to \"y\")", "difference accounts.y limit of 0 requests per second (0 is none)"}},
		{"account removed", func(d *Document) { d.Accounts = []account.Entry{} }, []string{
			"difference accounts.x its requests are refused, unless its keys belong to another account", "difference accounts.x.keys keys that stop working: 1 (0123…)"}},
		{"accounts removed", func(d *Document) { d.Accounts = nil }, []string{"difference accounts requests need no key", "warning accounts all accounts are removed, and requests need no key"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := sound()
			c.change(&d)
			differs := len(c.want) > 0 && d.Version == 7
			if differs {
				d.Version = 8
				c.want = append([]string{"difference version from 7 to 8"}, c.want...)
			}
			var got []string
			for _, f := range Differences(sound(), d) {
				require.NotContains(t, f.Text, "01234", "a key in full")
				got = append(got, fmt.Sprint(f.Kind, " ", f.Place, " ", f.Text))
			}
			require.Equal(t, c.want, got)
			d.Version = 7
			if differs {
				require.Equal(t, Error, Differences(sound(), d)[0].Kind, "a change without a newer version")
			}
		})
	}
}

func weights(s, t int) []route.Backend {
	return []route.Backend{{Service: "s", Weight: s}, {Service: "t", Weight: t}}
}

// Guards against shares of moved requests that are not those of route.Route.Pick, also when
// backends only change their order.
func TestMovesAreThoseOfPick(t *testing.T) {
	random := func(r *rand.Rand) *route.Route {
		var to route.Route
		for range 1 + r.IntN(4) {
			to.Backends = append(to.Backends, route.Backend{Service: string('s' + rune(r.IntN(3))), Weight: r.IntN(4)})
		}
		return &to
	}
	for seed := range uint64(30) {
		r := rand.New(rand.NewPCG(seed, 2))
		from, to, sent, want := random(r), random(r), 10_000, 0
		for i := range sent {
			if id := fmt.Sprint(seed, "-", i); from.Pick(id) != to.Pick(id) {
				want++
			}
		}
		require.InDelta(t, float64(want)/float64(sent), moved(moves(from, to)), 0.03, "seed %d: %v, %v", seed, from.Backends, to.Backends)
	}
}

// Guards against a key that a finding shows in full.
func TestNoKeyIsShownInFull(t *testing.T) {
	for key, want := range map[string]string{"k": "…", "ab": "a…", "abcd": "ab…", "abcdefgh": "abcd…", strings.Repeat("ä", 20): "ääää…"} {
		require.Equal(t, want, Mask(key))
	}
}
