package proxy_test

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/account"
	"cairndock/internal/gateway/route"
)

// setAccounts applies a configuration with routes and client accounts.
func (g *testGateway) setAccounts(accounts []account.Entry, rs ...route.Route) {
	g.putOperatorRow("config", operatorRow{Version: g.version + 1, Routes: rs, Accounts: accounts})
}

// railAccount is the client account of most tests.
func railAccount() account.Entry {
	return account.Entry{Account: account.Account{Name: "rail"}, Keys: []string{"k-rail", "k-rail-2"}}
}

// publicRoute is a route that requires no account.
func publicRoute() route.Route {
	r := testRoute(route.Repeatable)
	r.Name, r.Prefix, r.Public = "public", "/public/", true
	return r
}

// echoAccount responds with the account and the key that the upstream received.
func echoAccount(c net.Conn, r *http.Request) {
	reply(c, r, 200, "Genuine: 1\r\n", "account="+r.Header.Get(headerAccount)+" secret="+r.Header.Get(headerSecret))
}

// sendWith sends a request with header lines: names and values in turn. A name may occur
// several times.
func (g *testGateway) sendWith(method, path string, lines ...string) (*http.Response, string) {
	g.t.Helper()
	r, err := http.NewRequestWithContext(g.t.Context(), method, g.server.URL+path, nil)
	require.NoError(g.t, err)
	r.Host = "a.example"
	r.Header.Set(headerID, "id-1")
	for i := 0; i < len(lines); i += 2 {
		r.Header[lines[i]] = append(r.Header[lines[i]], lines[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	require.NoError(g.t, err)
	defer func() { require.NoError(g.t, resp.Body.Close()) }()
	body := make([]byte, 200)
	n, _ := resp.Body.Read(body) // a short body arrives in one read
	return resp, string(body[:n])
}

func TestARequestIsServedForTheAccountOfItsKey(t *testing.T) {
	g := newTestGateway(t)
	g.setAccounts([]account.Entry{railAccount()}, testRoute(route.Repeatable), publicRoute())
	received := g.addUpstream(echoAccount)
	for _, c := range []struct {
		name, path string
		lines      []string
		status     int
		want       string
	}{
		{"its key", "/x/", []string{headerSecret, "k-rail"}, 200, "account=rail secret="},
		{"another key of the account", "/x/", []string{headerSecret, "k-rail-2"}, 200, "account=rail secret="},
		{"an account header set by the client", "/x/", []string{headerSecret, "k-rail", headerAccount, "yard"}, 200, "account=rail secret="},
		{"the header in small letters", "/x/", []string{"secret", "k-rail", "account", "yard"}, 200, "account=rail secret="},
		{"no key", "/x/", nil, 401, ""},
		{"an empty key", "/x/", []string{headerSecret, ""}, 401, ""},
		{"an unknown key", "/x/", []string{headerSecret, "k-other"}, 401, ""},
		{"its key twice", "/x/", []string{headerSecret, "k-rail", headerSecret, "k-rail"}, 401, ""},
		{"two keys", "/x/", []string{headerSecret, "k-other", headerSecret, "k-rail"}, 401, ""},
		{"a second key under another spelling of the header", "/x/", []string{headerSecret, "k-rail", "sEcReT", "k-other"}, 401, ""},
		{"a public route without a key", "/public/", nil, 200, "account= secret="},
		{"a public route with an unknown key", "/public/", []string{headerSecret, "k-other", headerAccount, "yard"}, 200, "account= secret="},
		{"a public route with its key", "/public/", []string{headerSecret, "k-rail"}, 200, "account=rail secret="},
		{"a missing route is reported before a missing key", "/nowhere/", nil, 404, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			before := received.Load()
			resp, body := g.sendWith(http.MethodGet, c.path, c.lines...)
			require.Equal(t, c.status, resp.StatusCode)
			require.Equal(t, c.want, body)
			if c.status == 200 {
				return
			}
			require.Equal(t, before, received.Load(), "nothing is sent")
			require.Equal(t, "not-run", resp.Header.Get("Verdict"))
			require.Equal(t, "0s", resp.Header.Get("Retry"), "a retry does not help")
		})
	}
	for _, secret := range []string{"k-rail", "k-other"} {
		require.NotContains(t, g.log.String(), secret)
	}
}

// Without accounts, the key header is forwarded like any other header.
func TestWithoutAccountsAKeyIsForwarded(t *testing.T) {
	g := newTestGateway(t)
	g.setRoutes(testRoute(route.Repeatable))
	g.addUpstream(echoAccount)
	_, body := g.sendWith(http.MethodGet, "/x/", headerSecret, "k-rail")
	require.Equal(t, "account= secret=k-rail", body)
}

// A key was revoked while its request was at an upstream that refused it. The request was
// still sent to another upstream.
func TestARequestWhoseKeyWasRevokedIsNotSentAgain(t *testing.T) {
	g := newTestGateway(t)
	rs := []route.Route{testRoute(route.Repeatable)}
	g.setAccounts([]account.Entry{railAccount()}, rs...)
	var sent atomic.Int64
	g.addUpstream(func(c net.Conn, r *http.Request) {
		if sent.Add(1) == 1 {
			g.setAccounts([]account.Entry{{Account: account.Account{Name: "rail"}, Keys: []string{"k-new"}}}, rs...)
		}
		shedding(c, r)
	})
	g.addUpstream(func(c net.Conn, r *http.Request) {
		if sent.Add(1) == 1 {
			g.setAccounts([]account.Entry{{Account: account.Account{Name: "rail"}, Keys: []string{"k-new"}}}, rs...)
		}
		shedding(c, r)
	})
	resp, _ := g.sendWith(http.MethodGet, "/x/", headerSecret, "k-rail")
	require.Equal(t, 401, resp.StatusCode)
	require.Equal(t, "not-run", resp.Header.Get("Verdict"))
	require.Equal(t, int64(1), sent.Load())
	resp, _ = g.sendWith(http.MethodGet, "/x/", headerSecret, "k-rail") // on the open connection
	require.Equal(t, 401, resp.StatusCode)
	require.Equal(t, int64(1), sent.Load())
}

func TestARequestIsServedWhereRouteAndAccountBothAllow(t *testing.T) {
	for _, c := range []struct {
		name           string
		route, account []string
		status         int
	}{
		{"no regions", nil, nil, 200},
		{"the account's region", nil, []string{"r"}, 200},
		{"a region of both", []string{"r", "q"}, []string{"r"}, 200},
		{"the account is allowed in another region only", nil, []string{"q"}, 503},
		{"allowed for the account, not for the route", []string{"q"}, []string{"r"}, 503},
		{"allowed for the route, not for the account", []string{"r"}, []string{"q"}, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newTestGateway(t)
			rt, a := testRoute(route.Repeatable), railAccount()
			rt.Regions, a.Account.Regions = c.route, c.account
			g.setAccounts([]account.Entry{a}, rt)
			g.addUpstream(healthy)
			began := time.Now()
			resp, _ := g.sendWith(http.MethodGet, "/x/", headerSecret, "k-rail")
			require.Equal(t, c.status, resp.StatusCode)
			if c.status == 503 {
				require.Equal(t, "no-upstream", resp.Header.Get("Reason"))
				require.Less(t, time.Since(began), 200*time.Millisecond, "refused at once")
			}
		})
	}
}

func TestTheAccountsPriorityReplacesTheRoutes(t *testing.T) {
	g := newTestGateway(t)
	a, urgent := railAccount(), 0
	a.Account.Priority = &urgent
	rt := testRoute(route.Repeatable)
	rt.Priority = 3
	g.setAccounts([]account.Entry{a}, rt)
	g.addUpstream(resetting)
	resp, _ := g.sendWith(http.MethodGet, "/x/", headerSecret, "k-rail")
	require.Equal(t, 502, resp.StatusCode)
	require.Eventually(t, func() bool { return g.log.has(`"event":"final"`) }, time.Second, time.Millisecond)
	require.Contains(t, g.log.String(), `"account":"rail","priority":0`)
}

// An isolated host does not learn that a key was revoked. MaxKeyAge sets how old its
// configuration may be for keys to be accepted; zero sets no limit.
func TestAnIsolatedHostAcceptsKeysUpToTheMaximumAge(t *testing.T) {
	for _, c := range []struct {
		name   string
		maxAge time.Duration
		age    time.Duration
		status int
	}{
		{"any age", 0, time.Hour, 200},
		{"confirmed recently", 5 * time.Second, 4 * time.Second, 200},
		{"not confirmed", 5 * time.Second, 6 * time.Second, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newTestGateway(t)
			g.setAccounts([]account.Entry{railAccount()}, testRoute(route.Repeatable), publicRoute())
			received := g.addUpstream(healthy)
			g.proxy.MaxKeyAge, g.proxy.ConfigAge = c.maxAge, func() time.Duration { return c.age }
			resp, _ := g.sendWith(http.MethodGet, "/x/", headerSecret, "k-rail")
			require.Equal(t, c.status, resp.StatusCode)
			if c.status == 503 {
				require.Equal(t, "key-unconfirmed", resp.Header.Get("Reason"))
				require.Equal(t, "not-run", resp.Header.Get("Verdict"))
				require.Zero(t, received.Load())
			}
			resp, _ = g.sendWith(http.MethodGet, "/public/")
			require.Equal(t, 200, resp.StatusCode, "no key is needed")
		})
	}
}

// An account over its limit gets 429. Requests of other accounts are not affected.
func TestAnAccountOverItsLimitIsRefused(t *testing.T) {
	g := newTestGateway(t)
	a := railAccount()
	a.Account.Rate, a.Account.Burst = 1, 3
	yard := account.Entry{Account: account.Account{Name: "yard"}, Keys: []string{"k-yard"}}
	g.setAccounts([]account.Entry{a, yard}, testRoute(route.Repeatable), publicRoute())
	received := g.addUpstream(healthy)
	var refused *http.Response
	for range 10 {
		if resp, _ := g.sendWith(http.MethodGet, "/x/", headerSecret, "k-rail"); resp.StatusCode != 200 {
			refused = resp
		}
	}
	require.NotNil(t, refused)
	require.Equal(t, 429, refused.StatusCode)
	require.Equal(t, "over-limit", refused.Header.Get("Reason"))
	require.Equal(t, "not-run", refused.Header.Get("Verdict"))
	after, err := time.ParseDuration(refused.Header.Get("Retry"))
	require.NoError(t, err)
	require.Positive(t, after)
	require.Less(t, received.Load(), int64(10))
	require.Positive(t, received.Load(), "requests within the limit are served")
	for range 10 {
		resp, _ := g.sendWith(http.MethodGet, "/x/", headerSecret, "k-yard")
		require.Equal(t, 200, resp.StatusCode)
	}
	resp, _ := g.sendWith(http.MethodGet, "/public/")
	require.Equal(t, 200, resp.StatusCode)
}

// A request with several faults gets the error of the check that runs first. A request that
// fails an earlier check does not use up its account's limit.
func TestARequestWithSeveralFaultsGetsTheFirstError(t *testing.T) {
	g := newTestGateway(t)
	full := railAccount()
	full.Account.Rate, full.Account.Burst = 0.001, 0
	g.setAccounts([]account.Entry{full}, testRoute(route.Once))
	g.addUpstream(healthy)
	large := strings.Repeat("x", 1001)
	first, _, err := g.send(t.Context(), http.MethodPost, "/x/", "", map[string]string{headerID: "id-1", headerSecret: "k-rail"})
	require.NoError(t, err)
	require.Equal(t, 200, first.StatusCode, "the only request within the limit")
	for _, c := range []struct {
		name, path, key, body string
		status                int
	}{
		{"no route, no key", "/nowhere/", "", "", 404},
		{"no key, large header", "/x/" + strings.Repeat("y", 2000), "", "", 401},
		{"large header, over its limit", "/x/" + strings.Repeat("y", 2000), "k-rail", "", 431},
		{"over its limit, large body", "/x/", "k-rail", large, 429},
	} {
		t.Run(c.name, func(t *testing.T) {
			resp, _, err := g.send(t.Context(), http.MethodPost, c.path, c.body, map[string]string{headerID: "id-1", headerSecret: c.key})
			require.NoError(t, err)
			require.Equal(t, c.status, resp.StatusCode)
		})
	}
}
