package suspicions

import (
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"cairndock/internal/poison"
	"cairndock/internal/selector/call"
	"cairndock/internal/selector/slot"
	"cairndock/internal/selector/upstream"
	"cairndock/internal/verdict"
)

type nobody struct{}

func (nobody) SuspicionsChanged()                   {}
func (nobody) UpstreamTerminated(string, time.Time) {}
func (nobody) Quarantined(poison.Quarantine)        {}
func (nobody) Released(poison.Fingerprint, bool)    {}

// sender ends each request in the same way.
type sender struct {
	err  error
	sent int
}

func (s *sender) Send(_ context.Context, _ upstream.Target, _ *call.Request, done upstream.Done) (*call.Response, error) {
	s.sent++
	done(slot.Success, 0)
	if s.err != nil {
		return nil, s.err
	}
	return &call.Response{Status: 200, Body: io.NopCloser(strings.NewReader("whole"))}, nil
}

var (
	errRefused = eris.Wrap(syscall.ECONNREFUSED, "connect")
	noResponse = verdict.New(verdict.MayHaveRun, verdict.UpstreamFailed, "no response")
)

// dialTo gives an error, or a connection that stays open.
func dialTo(err error) upstream.DialFunc {
	return func(context.Context, string, string) (net.Conn, error) {
		if err != nil {
			return nil, err
		}
		here, _ := net.Pipe()
		return here, nil
	}
}

func TestOnlyEndsOfUpstreamsCountAgainstARequest(t *testing.T) {
	for _, c := range []struct {
		name    string
		failure *verdict.Error
		dial    error
		leaving bool
		counts  bool
	}{
		{"it ended", noResponse, errRefused, false, true},
		{"it takes new connections", noResponse, nil, false, false},
		{"it can't be reached", noResponse, context.DeadlineExceeded, false, false},
		{"its end was planned", noResponse, errRefused, true, false},
		{"nothing was sent", verdict.New(verdict.NotRun, verdict.UpstreamFailed, "not sent"), errRefused, false, false},
		{"it refused", verdict.New(verdict.NotRun, verdict.UpstreamShed, ""), errRefused, false, false},
		{"the deadline passed", verdict.New(verdict.MayHaveRun, verdict.DeadlineLapsed, ""), errRefused, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, s := newGuard(c.failure, c.dial, c.leaving)
			for range 5 {
				_, err := g.send(t, "ticket", "/x")
				require.Error(t, err)
				time.Sleep(2 * settles) // the first is noted beside the response
			}
			require.Equal(t, c.counts, !g.Table.Empty())
			if c.counts {
				require.True(t, g.quarantined("/x"))
				require.Equal(t, 3, s.sent)
				return
			}
			require.Equal(t, 5, s.sent)
		})
	}
}

// guard is a Guard whose upstreams end at the times of the test.
type guard struct{ *Guard }

func newGuard(failure *verdict.Error, dial error, leaving bool) (guard, *sender) {
	s := &sender{}
	if failure != nil {
		s.err = failure
	}
	return guard{New(Options{
		Sender: s, Table: poison.NewTable("h", time.Now(), nobody{}), Dial: dialTo(dial),
		Leaving: func(string) bool { return leaving }, Log: zerolog.Nop(),
	})}, s
}

// names are different upstreams, one for each request.
var names = []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}

func (g guard) send(t *testing.T, ticket, target string) (*call.Response, error) {
	t.Helper()
	name := names[0]
	names = append(names[1:], name)
	released := 0
	resp, err := g.Send(t.Context(), upstream.Target{Name: name, Zone: "z", Addr: name + ":1"}, &call.Request{
		Service: "s", Method: "POST", Target: target, Ticket: ticket, Deadline: time.Now().Add(time.Second),
	}, func(slot.Outcome, time.Duration) { released++ })
	require.Equal(t, 1, released, "its slot is free once")
	return resp, err
}

func (g guard) quarantined(target string) bool {
	return g.Table.Quarantined(fingerprint(&call.Request{Service: "s", Method: "POST", Target: target}), time.Now())
}

func TestAQuarantinedRequestIsRefusedWithAnotherTicketToo(t *testing.T) {
	g, s := newGuard(noResponse, errRefused, false)
	for range 3 {
		_, _ = g.send(t, "one", "/x") // they fail
		time.Sleep(2 * settles)
	}
	_, err := g.send(t, "two", "/x")
	require.Equal(t, verdict.Quarantined, verdict.From(err).Reason)
	require.Equal(t, verdict.NotRun, verdict.From(err).Verdict)
	require.Equal(t, retryAfter, verdict.From(err).RetryAfter)
	_, err = g.send(t, "two", "/y")
	require.Equal(t, verdict.UpstreamFailed, verdict.From(err).Reason, "it is another request")
	require.Equal(t, 4, s.sent)
}

func TestAWholeResponseClearsARequest(t *testing.T) {
	g, s := newGuard(noResponse, errRefused, false)
	_, _ = g.send(t, "", "/x") // it fails
	time.Sleep(2 * settles)
	require.False(t, g.Table.Empty())
	s.err = nil
	resp, err := g.send(t, "", "/x")
	require.NoError(t, err)
	require.False(t, g.Table.Empty(), "the response is not whole yet")
	_, err = io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.True(t, g.Table.Empty())
}
