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

// nopObserver is an observer that ignores all events.
type nopObserver struct{}

func (nopObserver) SuspicionsChanged()                   {}
func (nopObserver) UpstreamTerminated(string, time.Time) {}
func (nopObserver) Quarantined(poison.Quarantine)        {}
func (nopObserver) Released(poison.Fingerprint, bool)    {}

// sender returns err for each request, or a complete response if err is nil.
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

// dialTo returns a dial function that fails with err, or that makes connections that
// stay open if err is nil.
func dialTo(err error) upstream.DialFunc {
	return func(context.Context, string, string) (net.Conn, error) {
		if err != nil {
			return nil, err
		}
		here, _ := net.Pipe()
		return here, nil
	}
}

func TestOnlyTerminationsOfUpstreamsCountAgainstARequest(t *testing.T) {
	for _, c := range []struct {
		name    string
		failure *verdict.Error
		dial    error
		leaving bool
		counts  bool
	}{
		{"upstream terminated", noResponse, errRefused, false, true},
		{"upstream accepts connections", noResponse, nil, false, false},
		{"upstream unreachable", noResponse, context.DeadlineExceeded, false, false},
		{"planned termination", noResponse, errRefused, true, false},
		{"nothing was sent", verdict.New(verdict.NotRun, verdict.UpstreamFailed, "not sent"), errRefused, false, false},
		{"upstream shed the request", verdict.New(verdict.NotRun, verdict.UpstreamShed, ""), errRefused, false, false},
		{"the deadline passed", verdict.New(verdict.MayHaveRun, verdict.DeadlineLapsed, ""), errRefused, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, s := newGuard(c.failure, c.dial, c.leaving)
			for range 5 {
				_, err := g.send(t, "ticket", "/x")
				require.Error(t, err)
				time.Sleep(2 * minOpenTime) // the first failure is recorded asynchronously
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

// guard is a Guard with helpers for the tests.
type guard struct{ *Guard }

func newGuard(failure *verdict.Error, dial error, leaving bool) (guard, *sender) {
	s := &sender{}
	if failure != nil {
		s.err = failure
	}
	return guard{New(Options{
		Sender: s, Table: poison.NewTable("h", time.Now(), nopObserver{}), Dial: dialTo(dial),
		Leaving: func(string) bool { return leaving }, Log: zerolog.Nop(),
	})}, s
}

// names are the names of the upstreams. Each request goes to the next one.
var names = []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}

func (g guard) send(t *testing.T, ticket, target string) (*call.Response, error) {
	t.Helper()
	name := names[0]
	names = append(names[1:], name)
	released := 0
	resp, err := g.Send(t.Context(), upstream.Target{Name: name, Zone: "z", Addr: name + ":1"}, &call.Request{
		Service: "s", Method: "POST", Target: target, Ticket: ticket, Deadline: time.Now().Add(time.Second),
	}, func(slot.Outcome, time.Duration) { released++ })
	require.Equal(t, 1, released, "the slot must be released exactly once")
	return resp, err
}

func (g guard) quarantined(target string) bool {
	return g.Table.Quarantined(fingerprint(&call.Request{Service: "s", Method: "POST", Target: target}), time.Now())
}

func TestAQuarantinedRequestIsRefusedWithAnotherTicketToo(t *testing.T) {
	g, s := newGuard(noResponse, errRefused, false)
	for range 3 {
		_, _ = g.send(t, "one", "/x") // the sender fails each request
		time.Sleep(2 * minOpenTime)
	}
	_, err := g.send(t, "two", "/x")
	require.Equal(t, verdict.Quarantined, verdict.From(err).Reason)
	require.Equal(t, verdict.NotRun, verdict.From(err).Verdict)
	require.Equal(t, retryAfter, verdict.From(err).RetryAfter)
	_, err = g.send(t, "two", "/y")
	require.Equal(t, verdict.UpstreamFailed, verdict.From(err).Reason, "a different request is not quarantined")
	require.Equal(t, 4, s.sent)
}

func TestACompleteResponseClearsARequest(t *testing.T) {
	g, s := newGuard(noResponse, errRefused, false)
	_, _ = g.send(t, "", "/x") // the sender fails the request
	time.Sleep(2 * minOpenTime)
	require.False(t, g.Table.Empty())
	s.err = nil
	resp, err := g.send(t, "", "/x")
	require.NoError(t, err)
	require.False(t, g.Table.Empty(), "the response is not complete yet")
	_, err = io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.True(t, g.Table.Empty())
}
