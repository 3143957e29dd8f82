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

// admitter refuses requests for the given reason. If waiting is set, it admits
// requests that may wait.
type admitter struct {
	reason  verdict.Reason
	waiting bool
	calls   int
}

func (a *admitter) Acquire(_ context.Context, _, _ string, until time.Time) (slot.Lease, error) {
	a.calls++
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

// TestAdmit checks that a request from another host waits for a slot only if it is
// allowed to wait and the host is full, and that a refusal has the right reason.
func TestAdmit(t *testing.T) {
	cases := []struct {
		name     string
		service  string
		wait     int64
		admitter admitter
		calls    int
		reason   verdict.Reason
	}{
		{"a free slot", "planning", 0, admitter{}, 1, ""},
		{"no such service here yet", "new", 0, admitter{}, 0, verdict.NoUpstream},
		{"full, and must not wait", "planning", 0, admitter{reason: verdict.Full}, 1, verdict.Full},
		{"full, and a slot comes free", "planning", 100, admitter{reason: verdict.Full, waiting: true}, 2, ""},
		{"full, and none comes free", "planning", 100, admitter{reason: verdict.Full}, 2, verdict.Full},
		{"capped, and waiting does not help", "planning", 100, admitter{reason: verdict.Capped}, 1, verdict.Capped},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newForwarder(t, &tc.admitter)
			_, err := f.admit(context.Background(), Message{Service: tc.service, Rule: "all", LeftMillis: 1000, WaitMillis: tc.wait})
			require.Equal(t, tc.calls, tc.admitter.calls)
			if tc.reason == "" {
				require.NoError(t, err)
				return
			}
			require.Equal(t, tc.reason, verdict.From(err).Reason)
		})
	}
}

// TestLostExchange checks that only a request that was never sent has the verdict
// NotRun, and that a request with a ticket may have run earlier at the issuer.
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

// TestMessageKeepsTheTimeLeft checks that a deadline is sent as the time left,
// because the clocks of two hosts may differ, and that the waiting time is never
// negative.
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
