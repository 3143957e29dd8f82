package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/call"
	"cairndock/internal/selector/entry"
	"cairndock/internal/selector/entry/clustertest"
	"cairndock/internal/selector/standin"
	"cairndock/internal/verdict"
)

// booking returns a request that must run at most once.
func booking(ticket string) *call.Request {
	return &call.Request{
		Service: "planning", Method: http.MethodPost, Target: "/bookings", Body: []byte("{}"),
		Ticket: ticket, Deadline: time.Now().Add(clustertest.Timeout),
	}
}

// issueTicket returns a new ticket of a host.
func (c *cluster) issueTicket(host string) string {
	t, err := c.Host(host).IssueTicket("planning")
	require.NoError(c.T, err)
	return t.String()
}

// faultAll sets the same faults for every upstream.
func (c *cluster) faultAll(f standin.Faults) {
	for _, u := range c.Upstreams {
		u.SetFaults(f)
	}
}

// runs returns the number of times that the request of a ticket ran.
func (c *cluster) runs(ticket string) int {
	n := 0
	for _, u := range c.Upstreams {
		n += u.Runs(ticket)
	}
	return n
}

// reported returns the verdict that a result reports to a client.
func reported(err error) verdict.Verdict {
	if err == nil {
		return verdict.Ran
	}
	return verdict.From(err).Verdict
}

// Guards against a request with a ticket that runs twice or is reported wrongly. A
// failure is injected at every point of the path of one booking, which is then
// resent through every host. The upstreams' ledgers show how often it ran.
func TestAtMostOnce(t *testing.T) {
	const issuer = "costa-a-1"
	cases := []struct {
		name string
		// first sends the booking; again runs before the resends.
		first func(c *cluster, ticket string) error
		again func(c *cluster)
		runs  int
		// last is the verdict that the last resend reports.
		last verdict.Verdict
	}{
		{name: "nothing fails", runs: 1, last: verdict.Ran},
		{name: "first sent by another host", runs: 1, last: verdict.Ran, first: func(c *cluster, ticket string) error {
			_, err := clustertest.Ask(c.Host("sierra-a-2"), booking(ticket))
			return err
		}},
		{name: "upstream refuses", runs: 1, last: verdict.Ran, first: func(c *cluster, ticket string) error {
			c.faultAll(standin.Faults{Shed: true})
			_, err := clustertest.Ask(c.Host(issuer), booking(ticket))
			c.faultAll(standin.Faults{})
			return err
		}},
		{name: "upstream fails before it runs the booking", runs: 0, last: verdict.MayHaveRun, first: func(c *cluster, ticket string) error {
			c.faultAll(standin.Faults{DropBefore: true})
			_, err := clustertest.Ask(c.Host(issuer), booking(ticket))
			c.faultAll(standin.Faults{})
			return err
		}},
		{name: "upstream fails after it ran the booking", runs: 1, last: verdict.MayHaveRun, first: func(c *cluster, ticket string) error {
			c.faultAll(standin.Faults{DropAfter: true})
			_, err := clustertest.Ask(c.Host(issuer), booking(ticket))
			c.faultAll(standin.Faults{})
			return err
		}},
		{name: "response truncated", runs: 1, last: verdict.MayHaveRun, first: func(c *cluster, ticket string) error {
			c.faultAll(standin.Faults{Truncate: true})
			_, err := clustertest.Ask(c.Host(issuer), booking(ticket))
			c.faultAll(standin.Faults{})
			return err
		}},
		{name: "client disconnects", runs: 1, last: verdict.Ran, first: func(c *cluster, ticket string) error {
			ctx, cancel := context.WithTimeout(context.Background(), clustertest.Latency/2)
			defer cancel()
			_, err := c.Host(issuer).Do(ctx, booking(ticket))
			return err
		}},
		{name: "upstream slower than the client's deadline", runs: 1, last: verdict.Ran, first: func(c *cluster, ticket string) error {
			c.faultAll(standin.Faults{Delay: clustertest.Timeout})
			_, err := clustertest.Ask(c.Host(issuer), booking(ticket))
			c.faultAll(standin.Faults{})
			return err
		}, again: func(*cluster) { time.Sleep(clustertest.Timeout) }},
		{name: "concurrent resends", runs: 1, last: verdict.Ran, first: func(c *cluster, ticket string) error {
			var wait sync.WaitGroup
			for _, h := range c.Live() {
				for range 3 {
					wait.Go(func() { _, _ = clustertest.Ask(h, booking(ticket)) })
				}
			}
			wait.Wait()
			return nil
		}},
		{name: "issuer killed afterwards", runs: 1, last: verdict.MayHaveRun, again: func(c *cluster) { c.Kill(issuer) }},
		{name: "issuer killed and replaced", runs: 1, last: verdict.MayHaveRun, again: func(c *cluster) {
			c.Kill(issuer)
			c.Start(issuer)
			time.Sleep(5 * time.Second)
		}},
		{name: "issuer killed while the booking runs", runs: 1, last: verdict.MayHaveRun, first: func(c *cluster, ticket string) error {
			go func() {
				// The transit time to the issuer is 35 ms.
				time.Sleep(35*time.Millisecond + clustertest.Latency/2)
				c.Kill(issuer)
			}()
			_, err := clustertest.Ask(c.Host("sierra-a-1"), booking(ticket))
			return err
		}},
		{name: "issuer cut off before the first use", runs: 0, last: verdict.MayHaveRun, first: func(c *cluster, ticket string) error {
			c.Net.Cut(func(a, b string) bool { return a == issuer && b != "platform" })
			_, err := clustertest.Ask(c.Host("sierra-a-1"), booking(ticket))
			return err
		}},
		{name: "issuer paused for 30 s", runs: 1, last: verdict.Ran, again: func(c *cluster) {
			c.CutOff(30*time.Second, issuer)
			time.Sleep(5 * time.Second)
		}},
		{name: "issuer stopped as planned", runs: 1, last: verdict.Ran, again: func(c *cluster) {
			c.Host(issuer).Stop(context.Background())
			c.Kill(issuer)
			time.Sleep(2 * time.Second)
		}},
		{name: "issuer stopped as planned before the first use", runs: 1, last: verdict.Ran, first: func(c *cluster, ticket string) error {
			c.Host(issuer).Stop(context.Background())
			c.Kill(issuer)
			time.Sleep(2 * time.Second)
			_, err := clustertest.Ask(c.Host("sierra-a-1"), booking(ticket))
			return err
		}},
		{name: "resend after expiry", runs: 1, last: verdict.MayHaveRun, again: func(*cluster) { time.Sleep(12 * time.Minute) }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			inBubble(t, clustertest.Anywhere, func(c *cluster) {
				ticket := c.issueTicket(issuer)
				first := tc.first
				if first == nil {
					first = func(c *cluster, ticket string) error {
						_, err := clustertest.Ask(c.Host(issuer), booking(ticket))
						return err
					}
				}
				c.checkReported(ticket, reported(first(c, ticket)))
				if tc.again != nil {
					tc.again(c)
				}
				time.Sleep(time.Second)
				var last verdict.Verdict
				for _, h := range c.Live() {
					_, err := clustertest.Ask(h, booking(ticket))
					last = reported(err)
					c.checkReported(ticket, last)
				}
				require.Equal(t, tc.runs, c.runs(ticket))
				require.Equal(t, tc.last.String(), last.String())
				require.Zero(t, c.Over())
			})
		})
	}
}

// checkReported compares a verdict that a client received with the ledgers.
func (c *cluster) checkReported(ticket string, v verdict.Verdict) {
	runs := c.runs(ticket)
	require.LessOrEqual(c.T, runs, 1, "ran twice")
	if v == verdict.NotRun {
		require.Zero(c.T, runs, "reported as not-run, but ran")
	}
	if v == verdict.Ran {
		require.Equal(c.T, 1, runs, "reported as ran")
	}
}

// A ticket must be valid for one request only: resends get the same response, and
// another request with the same ticket is refused.
func TestTicketsServeOneRequest(t *testing.T) {
	inBubble(t, clustertest.Anywhere, func(c *cluster) {
		ticket := c.issueTicket("costa-a-1")
		one, err := clustertest.Ask(c.Host("costa-a-1"), booking(ticket))
		require.NoError(t, err)
		for _, h := range c.Live() {
			same, err := clustertest.Ask(h, booking(ticket))
			require.NoError(t, err)
			require.Equal(t, one, same)
			other := booking(ticket)
			other.Body = []byte(`{"other":1}`)
			_, err = clustertest.Ask(h, other)
			require.Equal(t, verdict.TicketConflict, verdict.From(err).Reason, fmt.Sprint(h.Self().Host))
		}
		require.Equal(t, 1, c.runs(ticket))
	})
}

// waitPeerUp waits until a host regards another host as responsive, and reports
// whether this happened within the limit.
func waitPeerUp(h *entry.Host, name string, limit time.Duration) bool {
	for start := time.Now(); time.Since(start) < limit; time.Sleep(entry.Tick) {
		if h.IsPeerUp(name) {
			return true
		}
	}
	return false
}

// A host that does not know the issuer of a ticket must query a host of the issuer's
// zone.
func TestTicketsFindTheirIssuerByZone(t *testing.T) {
	inBubble(t, clustertest.Anywhere, func(c *cluster) {
		ticket := c.issueTicket("costa-a-1")
		far := c.Host("sierra-a-1")
		require.True(t, waitPeerUp(far, "costa-a-2", 5*time.Second), "no other host of the issuer's zone is known")
		far.Forget("costa-a-1")
		one, err := clustertest.Ask(far, booking(ticket))
		require.NoError(t, err)
		two, err := clustertest.Ask(c.Host("costa-a-1"), booking(ticket))
		require.NoError(t, err)
		require.Equal(t, one, two)
		require.Equal(t, 1, c.runs(ticket))
	})
}
