package admission

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"

	"cairndock/internal/selector/call"
	"cairndock/internal/selector/entry/configtest"
	"cairndock/internal/selector/entry/fence"
	"cairndock/internal/selector/entry/services"
	"cairndock/internal/selector/slot"
	"cairndock/internal/selector/upstream"
	"cairndock/internal/telemetry"
	"cairndock/internal/verdict"
)

// client responds to every request, or returns err if it is set.
type client struct{ err error }

func (c client) Send(_ context.Context, _ upstream.Target, _ *call.Request, done upstream.Done) (*call.Response, error) {
	done(slot.Unused, 0)
	if c.err != nil {
		return nil, c.err
	}
	return &call.Response{Status: 200}, nil
}

// newAdmitter returns an Admitter with one slot of up-1, for the rule "all", and
// one slot of an upstream that is no longer configured, for the rule "old".
func newAdmitter(t *testing.T, c Client) *Admitter {
	view := configtest.View(t, configtest.Planning)
	set := services.NewSet(view, func() float64 { return 0.5 })
	set.Get("planning").Gate.Configure([]slot.Spec{{Name: "up-1", Held: 1}, {Name: "up-removed", Held: 1}}, []slot.RuleSpec{
		{Name: "all", Upstreams: []int32{0}, InFlight: -1, Rate: -1},
		{Name: "limited", Upstreams: []int32{0}, InFlight: 0, Rate: -1},
		{Name: "old", Upstreams: []int32{1}, InFlight: -1, Rate: -1},
	})
	createdAt := time.Now()
	f := fence.New(func() int64 { return int64(time.Hour) + int64(time.Since(createdAt)) })
	f.Start()
	return New(Options{
		Zone: "costa-a", View: view, Services: set, Fence: f, Client: c,
		Metrics: telemetry.NewMetrics(), Tracer: noop.NewTracerProvider().Tracer(""),
	})
}

// TestRefusals checks that each refusal has the verdict NotRun and its reason, and
// that no slot stays acquired.
func TestRefusals(t *testing.T) {
	cases := []struct {
		name, rule string
		before     func(a *Admitter)
		reason     verdict.Reason
		retry      time.Duration
	}{
		{"paused", "all", func(a *Admitter) { a.Fence.Close() }, verdict.NotReady, RetryAfter},
		{"limited", "limited", nil, verdict.Capped, RetryAfter},
		{"no such rule", "none", nil, verdict.NoUpstream, 0},
		{"full", "all", func(a *Admitter) { _, _ = a.Acquire(context.Background(), "planning", "all", time.Time{}) }, verdict.Full, RetryAfter},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			a := newAdmitter(t, client{})
			if tc.before != nil {
				tc.before(a)
			}
			taken := a.Services.Outstanding()
			_, err := a.Acquire(context.Background(), "planning", tc.rule, time.Time{})
			e := verdict.From(err)
			require.Equal(t, verdict.NotRun, e.Verdict)
			require.Equal(t, tc.reason, e.Reason)
			require.Equal(t, tc.retry, e.RetryAfter)
			require.Equal(t, taken, a.Services.Outstanding())
		})
	}
}

// TestSlotsAreReleased checks that the slot is free after every outcome of a
// request.
func TestSlotsAreReleased(t *testing.T) {
	cases := []struct {
		name, rule string
		client     client
		fails      bool
	}{
		{"answered", "all", client{}, false},
		{"failed", "all", client{errors.New("lost")}, true},
		{"upstream was removed", "old", client{}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			a := newAdmitter(t, tc.client)
			lease, err := a.Acquire(context.Background(), "planning", tc.rule, time.Time{})
			require.NoError(t, err)
			require.Equal(t, 1, a.Services.Outstanding())
			_, err = a.Send(context.Background(), &call.Request{Service: "planning"}, lease)
			require.Equal(t, tc.fails, err != nil)
			require.Zero(t, a.Services.Outstanding())
		})
	}
}
