package configcheck

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/account"
	"cairndock/internal/gateway/route"
)

var names = Names{
	Version: "version", Routes: "routes", Services: "services", Accounts: "accounts", Limits: "limits",
	Host: "host", Prefix: "prefix", Kind: "kind", Timeout: "timeout", Objective: "objective", Priority: "priority",
	Attempts: "attempts", Backends: "backends", Sticky: "sticky", Regions: "regions", Public: "public",
	Rate: "rate", Burst: "burst", Keys: "keys", WarmUp: "warmup", WarmUpRate: "warmup_rate",
	HeaderBytes: "header_bytes", BodyBytes: "body_bytes", HeaderTimeout: "header_timeout", IdleTimeout: "idle_timeout",
}

// sound returns a document without warnings.
func sound() Document {
	return Document{
		Version: 7, Names: names,
		Routes: []route.Route{
			{Name: "a", Host: "a.example", Prefix: "/a/", Timeout: 2 * time.Second, Objective: time.Second, Attempts: 2, Regions: []string{"costa"},
				Backends: []route.Backend{{Service: "s", Weight: 3}, {Service: "t", Weight: 1}}},
			{Name: "b", Host: "a.example", Prefix: "/a/b/", Timeout: time.Second, Attempts: 3, Regions: []string{"costa"}, Backends: []route.Backend{{Service: "s", Weight: 1}}},
		},
		Services: []route.Service{{Name: "s"}, {Name: "t"}},
		Accounts: []account.Entry{{Keys: []string{"0123456789"}, Account: account.Account{Name: "x", Rate: 5, Burst: 1, Regions: []string{"costa"}}}},
		Limits:   route.Limits{HeaderBytes: 100},
	}
}

// Guards against warnings that are missing, that name another place, or that a sound
// document gets.
func TestWarnings(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Document)
		code   string
		place  string
	}{
		{"sound", func(*Document) {}, "", ""},
		{"same prefix", func(d *Document) { d.Routes[1].Prefix = "/a/" }, "unreachable", "routes.b"},
		{"slash in a host", func(d *Document) { d.Routes[1].Host = "a/b" }, "unreachable", "routes.b.host"},
		{"port in a host", func(d *Document) { d.Routes[1].Host = "a.example:80" }, "host-with-port", "routes.b.host"},
		{"long prefix", func(d *Document) { d.Routes[1].Prefix = "/" + strings.Repeat("x", 99) + "/" }, "prefix-too-long", "routes.b.prefix"},
		{"no weight", func(d *Document) { d.Routes[0].Backends[1].Weight = 0 }, "backend-without-weight", "routes.a.backends"},
		{"no weights", func(d *Document) { d.Routes[0].Backends = []route.Backend{{Service: "s"}, {Service: "t"}} }, "weights", "routes.a.backends"},
		{"too large weights", func(d *Document) { d.Routes[0].Backends[0].Weight = 1<<63 - 1 }, "weights", "routes.a.backends"},
		{"no timeout", func(d *Document) { d.Routes[0].Timeout = 0 }, "no-timeout", "routes.a.timeout"},
		{"objective above timeout", func(d *Document) { d.Routes[0].Objective = 3 * time.Second }, "objective-above-timeout", "routes.a.objective"},
		{"no time for a retry", func(d *Document) { d.Routes[0].Objective++ }, "no-time-for-retry", "routes.a.timeout"},
		{"one attempt", func(d *Document) { d.Routes[0].Objective++; d.Routes[0].Attempts = 1 }, "", ""},
		{"service without a route", func(d *Document) { d.Services = append(d.Services, route.Service{Name: "u"}) }, "service-without-route", "services.u"},
		{"homes of no route", func(d *Document) { d.Accounts[0].Account.Regions = []string{"sierra"} }, "account-without-route", "accounts.x.regions"},
		{"no routes", func(d *Document) { d.Routes, d.Services = nil, nil }, "account-without-route", "accounts.x"},
		{"unknown home", func(d *Document) { d.Accounts[0].Account.Regions = []string{"costa", "north"} }, "unknown-region", "accounts.x.regions"},
		{"unknown region", func(d *Document) { d.Routes[0].Regions = []string{"costa", "north"} }, "unknown-region", "routes.a.regions"},
		{"burst below one", func(d *Document) { d.Accounts[0].Account.Burst = 0.9 }, "burst-below-one", "accounts.x.burst"},
		{"no limit", func(d *Document) { d.Accounts[0].Account.Rate, d.Accounts[0].Account.Burst = 0, 0 }, "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := sound()
			c.change(&d)
			found := Warnings(d, []string{"costa", "sierra"})
			if c.code == "" {
				require.Empty(t, found)
				return
			}
			require.Len(t, found, 1)
			require.Equal(t, []any{Warning, c.code, c.place}, []any{found[0].Kind, found[0].Code, found[0].Place})
		})
	}
}
