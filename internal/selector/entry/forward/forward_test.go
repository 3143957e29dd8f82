package forward

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"

	"cairndock/internal/peer"
	"cairndock/internal/selector/call"
	"cairndock/internal/selector/entry/configtest"
	"cairndock/internal/selector/entry/peers"
	"cairndock/internal/selector/member"
	"cairndock/internal/selector/slot"
	"cairndock/internal/verdict"
)

// admitter refuses requests until it is asked to wait, when waiting helps.
type admitter struct {
	reason  verdict.Reason
	waiting bool
	asked   int
}

func (a *admitter) Acquire(_ context.Context, _, _ string, until time.Time) (slot.Lease, error) {
	a.asked++
	if a.reason == "" || a.waiting && !until.IsZero() {
		return slot.Lease{}, nil
	}
	return slot.Lease{}, verdict.New(verdict.NotRun, a.reason, "refused")
}

func (*admitter) Send(context.Context, *call.Request, slot.Lease) (*call.Response, error) {
	return &call.Response{Status: 200}, nil
}

func newForwarder(t *testing.T, a Admitter) *Forwarder {
	view := configtest.View(t, configtest.Planning)
	return New(Options{
		Zone: "costa-a", View: view, Admitter: a,
		Peers:  peers.New(member.Contact{Host: "costa-a-1", Zone: "costa-a"}),
		Random: func() float64 { return 0.5 }, Tracer: noop.NewTracerProvider().Tracer(""),
	})
}

// TestAdmit: a request of another host waits for a slot only when it may and
// only for room; a refusal says why.
func TestAdmit(t *testing.T) {
	cases := []struct {
		name     string
		service  string
		wait     int64
		admitter admitter
		asked    int
		reason   verdict.Reason
	}{
		{"a free slot", "planning", 0, admitter{}, 1, ""},
		{"no such service here yet", "new", 0, admitter{}, 0, verdict.NoUpstream},
		{"full, and must not wait", "planning", 0, admitter{reason: verdict.Full}, 1, verdict.Full},
		{"full, and a slot comes free", "planning", 100, admitter{reason: verdict.Full, waiting: true}, 2, ""},
		{"full, and none comes free", "planning", 100, admitter{reason: verdict.Full}, 2, verdict.Full},
		{"capped, which waiting does not help", "planning", 100, admitter{reason: verdict.Capped}, 1, verdict.Capped},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newForwarder(t, &tc.admitter)
			_, err := f.admit(context.Background(), Message{Service: tc.service, Rule: "all", LeftMillis: 1000, WaitMillis: tc.wait})
			require.Equal(t, tc.asked, tc.admitter.asked)
			if tc.reason == "" {
				require.NoError(t, err)
				return
			}
			require.Equal(t, tc.reason, verdict.From(err).Reason)
		})
	}
}

// TestLostExchange: only what was never sent did not run, and the request of
// a ticket may have run at its issuer before.
func TestLostExchange(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	lost := errors.New("connection lost")
	cases := []struct {
		name    string
		ctx     context.Context
		kind    peer.Kind
		err     error
		verdict verdict.Verdict
		reason  verdict.Reason
	}{
		{"never sent", context.Background(), peer.KindForward, peer.ErrNotSent, verdict.NotRun, verdict.PeerFailed},
		{"never sent, with a ticket", context.Background(), peer.KindTicket, peer.ErrNotSent, verdict.MayHaveRun, verdict.PeerFailed},
		{"lost", context.Background(), peer.KindForward, lost, verdict.MayHaveRun, verdict.PeerFailed},
		{"no reply in time", ended, peer.KindForward, lost, verdict.MayHaveRun, verdict.DeadlineLapsed},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newForwarder(t, &admitter{})
			e := verdict.From(f.exchangeError(tc.ctx, member.Contact{Host: "costa-b-1"}, tc.kind, tc.err))
			require.Equal(t, tc.verdict.String(), e.Verdict.String())
			require.Equal(t, tc.reason, e.Reason)
		})
	}
}

// TestMessageKeepsTheTimeLeft: a deadline travels as the time left, as the
// clocks of two hosts may differ, and a time to wait is never negative.
func TestMessageKeepsTheTimeLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		req := &call.Request{Service: "planning", Method: http.MethodGet, Target: "/x", Deadline: time.Now().Add(time.Second)}
		msg := NewMessage(context.Background(), req, "all", time.Time{})
		require.EqualValues(t, 1000, msg.LeftMillis)
		require.Zero(t, msg.WaitMillis)
		time.Sleep(time.Minute)
		got := msg.Request()
		require.Equal(t, time.Now().Add(time.Second), got.Deadline)
		require.Equal(t, req.Target, got.Target)
	})
}
