package tickets

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"cairndock/internal/peer"
	"cairndock/internal/selector/call"
	"cairndock/internal/selector/entry/configtest"
	"cairndock/internal/selector/entry/forward"
	"cairndock/internal/selector/entry/peers"
	"cairndock/internal/selector/member"
	"cairndock/internal/selector/ticket"
	"cairndock/internal/verdict"
)

// forwarder records the messages that were sent.
type forwarder struct{ sent []forward.Message }

func (f *forwarder) Exchange(_ context.Context, _ member.Contact, _ peer.Kind, msg forward.Message) (*call.Response, error) {
	f.sent = append(f.sent, msg)
	return response("there"), nil
}

func (*forwarder) Respond(context.Context, peer.Hello, string, *call.Response, error, *peer.Responder) {
}

func response(body string) *call.Response {
	return &call.Response{Status: 200, Length: int64(len(body)), Verdict: verdict.Ran, Body: io.NopCloser(strings.NewReader(body))}
}

// newIssuer returns the Issuer of host costa-a-1. Its requests are run by the
// function run.
func newIssuer(tb testing.TB, run func(context.Context, *call.Request) (*call.Response, error)) *Issuer {
	view := configtest.View(tb, configtest.Planning)
	return New(Options{
		Host: "costa-a-1", Zone: "costa-a", Incarnation: "1", View: view,
		Dispatch: run, Forwarder: &forwarder{},
		Peers: peers.New(member.Contact{Host: "costa-a-1", Zone: "costa-a"}),
		Mesh:  peer.NewMesh(peer.Hello{Host: "costa-a-1"}, nil, nil), Log: zerolog.Nop(),
	})
}

func booking(t ticket.Ticket) *call.Request {
	return &call.Request{
		Service: "planning", Method: http.MethodPost, Target: "/bookings", Body: []byte("{}"),
		Ticket: t.String(), Deadline: time.Now().Add(time.Second),
	}
}

// TestOutcomeIsKept checks that a resend returns the outcome of the first use, and
// that only a request that provably did not run is dispatched again.
func TestOutcomeIsKept(t *testing.T) {
	large := bytes.Repeat([]byte("x"), maxResponse+1)
	cases := []struct {
		name  string
		first func() (*call.Response, error)
		// runs is the number of runs after two uses, and second the verdict of
		// the second use.
		runs   int
		second verdict.Verdict
	}{
		{"answered", func() (*call.Response, error) { return response("done"), nil }, 1, verdict.Ran},
		{"proved not to have run", func() (*call.Response, error) { return nil, verdict.New(verdict.NotRun, verdict.Full, "full") }, 2, verdict.NotRun},
		{"in doubt", func() (*call.Response, error) {
			return nil, verdict.New(verdict.MayHaveRun, verdict.PeerFailed, "lost")
		}, 1, verdict.MayHaveRun},
		{"too large", func() (*call.Response, error) { return response(string(large)), nil }, 1, verdict.MayHaveRun},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			runs := 0
			i := newIssuer(t, func(context.Context, *call.Request) (*call.Response, error) {
				runs++
				return tc.first()
			})
			tk, err := i.Issue("planning")
			require.NoError(t, err)
			_, _ = i.Do(context.Background(), booking(tk))
			_, err = i.Do(context.Background(), booking(tk))
			second := verdict.Ran
			if err != nil {
				second = verdict.From(err).Verdict
			}
			require.Equal(t, tc.second.String(), second.String())
			require.Equal(t, tc.runs, runs)
		})
	}
}

// TestRequestContinuesAfterClientLeaves checks that a request continues after its
// client has left, with the service's max_timeout as the limit, and that a resend
// returns the response.
func TestRequestContinuesAfterClientLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := newIssuer(t, func(ctx context.Context, req *call.Request) (*call.Response, error) {
			require.Equal(t, 2*time.Second, time.Until(req.Deadline))
			time.Sleep(1500 * time.Millisecond)
			require.NoError(t, ctx.Err())
			return response("done"), nil
		})
		tk, err := i.Issue("planning")
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err = i.Do(ctx, booking(tk))
		require.Equal(t, verdict.MayHaveRun, verdict.From(err).Verdict)
		require.Equal(t, 1, i.Running())
		_, err = i.Do(context.Background(), booking(tk))
		require.Equal(t, verdict.TicketRunning, verdict.From(err).Reason)
		i.Wait()
		a, err := i.Do(context.Background(), booking(tk))
		require.NoError(t, err)
		body, err := io.ReadAll(a.Body)
		require.NoError(t, err)
		require.Equal(t, "done", string(body))
	})
}

// TestSuccessorServesTheTickets checks that the successor of a stopped host serves
// the tickets of that host until all of them have expired.
func TestSuccessorServesTheTickets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := func(context.Context, *call.Request) (*call.Response, error) { return response("here"), nil }
		stopped, successor := newIssuer(t, run), newIssuer(t, run)
		stopped.Incarnation, stopped.Host = "2", "costa-a-2"
		stopped.own = ticket.NewStore("costa-a-2", "costa-a", "2", ticket.NewKey())
		tk, err := stopped.Issue("planning")
		require.NoError(t, err)
		_, err = successor.Do(context.Background(), booking(tk))
		require.Equal(t, verdict.TicketUnknown, verdict.From(err).Reason, "no host knows the issuer")

		require.False(t, stopped.HandOver(context.Background()), "there is no other host")
		_, err = stopped.Issue("planning")
		require.Equal(t, verdict.Stopping, verdict.From(err).Reason)
		successor.Adopt([]ticket.Handover{stopped.own.Handover(true)})
		require.Equal(t, []member.Successor{{Incarnation: "2", Host: "costa-a-1"}}, successor.Successors())
		a, err := successor.Do(context.Background(), booking(tk))
		require.NoError(t, err)
		require.NoError(t, a.Body.Close())

		time.Sleep(2*ticket.Lifetime - 1)
		successor.ForgetExpired()
		require.Len(t, successor.Successors(), 1)
		time.Sleep(time.Nanosecond)
		successor.ForgetExpired()
		require.Empty(t, successor.Successors())
	})
}

// TestForwardsToTheIssuerOnce checks that a request with a ticket of another host is
// forwarded to that host once.
func TestForwardsToTheIssuerOnce(t *testing.T) {
	i := newIssuer(t, nil)
	b := member.Heartbeat{Contact: member.Contact{Host: "sierra-a-1", Zone: "sierra-a", PeerAddr: "sierra-a-1:2"}}
	i.Peers.Update(func(p *member.Peers) { p.RecordHeartbeat(b, time.Now(), time.Millisecond) })
	tk, err := ticket.NewStore("sierra-a-1", "sierra-a", "9", ticket.NewKey()).Issue(time.Now())
	require.NoError(t, err)
	_, err = i.Do(context.Background(), booking(tk))
	require.NoError(t, err)
	sent := i.Forwarder.(*forwarder).sent
	require.Len(t, sent, 1)
	require.False(t, sent[0].Passed)
	require.Equal(t, tk.String(), sent[0].Ticket)
}
