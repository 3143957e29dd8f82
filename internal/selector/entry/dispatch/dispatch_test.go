package dispatch

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"

	"cairndock/internal/selector/call"
	"cairndock/internal/selector/entry/admission"
	"cairndock/internal/selector/entry/configtest"
	"cairndock/internal/selector/entry/fence"
	"cairndock/internal/selector/entry/services"
	"cairndock/internal/selector/slot"
	"cairndock/internal/selector/steer"
	"cairndock/internal/verdict"
)

const doc = configtest.Planning + `
[[zone]]
name = "costa-b"
region = "costa"
[[upstream]]
name = "up-b"
service = "planning"
zone = "costa-b"
addr = "up-b:1"
slots = 4
[[rule]]
name = "all"
service = "planning"
selector = ""
share = 1.0
`

// outcome is how one try ends; nil is a whole response.
type outcome *verdict.Error

// system is a host of costa-a. Its own zone and the other one each give
// outcomes in their order, and whole responses after them.
type system struct {
	*Dispatcher
	own   []outcome
	other []outcome
	// tries are the zones tried, in their order.
	tries []string
}

func (s *system) end(zone string, from *[]outcome) (*call.Response, error) {
	s.tries = append(s.tries, zone)
	if len(*from) > 0 {
		next := (*from)[0]
		*from = (*from)[1:]
		if next != nil {
			return nil, (*verdict.Error)(next)
		}
	}
	return &call.Response{Status: 200, Length: 2, Verdict: verdict.Ran, Body: io.NopCloser(strings.NewReader("ok"))}, nil
}

// sender is the client of the own zone's upstreams.
type sender struct {
	*admission.Admitter
	s *system
}

func (a sender) Send(_ context.Context, req *call.Request, lease slot.Lease) (*call.Response, error) {
	a.Cancel(req.Service, lease)
	return a.s.end("costa-a", &a.s.own)
}

func (s *system) Forward(_ context.Context, _ *call.Request, zone, _ string, _ time.Time) (*call.Response, error) {
	return s.end(zone, &s.other)
}

func (*system) ZoneMayHelp(string) bool { return false }

func newSystem(t *testing.T) *system {
	view := configtest.View(t, doc)
	made := time.Now()
	now := func() int64 { return int64(time.Hour) + int64(time.Since(made)) }
	f := fence.New(now)
	f.Start()
	set := services.NewSet(view, func() float64 { return 0.5 })
	svc, ok := view().Service("planning")
	require.True(t, ok)
	planning := set.Get("planning")
	planning.Gate.Configure([]slot.Spec{{Name: "up-1", Held: 1}}, []slot.RuleSpec{{Name: "all", Upstreams: []int32{0}, InFlight: -1, Rate: -1}})
	planning.Decide(func(d *steer.Decider) {
		d.Configure(svc, "costa-a", "costa", time.Now())
		d.SetLocal(1, 0, 0)
		d.SetZone("costa-b", steer.Report{Free: 2, Warm: 2, At: now()}, time.Millisecond, true)
		d.Rank()
	})
	s := &system{}
	tracer := noop.NewTracerProvider().Tracer("")
	s.Dispatcher = New(Options{
		View: view, Services: set, Forwarder: s, Now: now, Tracer: tracer,
		Admitter: sender{admission.New(admission.Options{Zone: "costa-a", View: view, Services: set, Fence: f, Tracer: tracer}), s},
	})
	return s
}

func lookup(method string) *call.Request {
	return &call.Request{Service: "planning", Method: method, Target: "/x", Deadline: time.Now().Add(time.Second)}
}

// TestTries: a request that provably did not run goes to another zone; one
// that may have run only when the service lets its method be repeated; and one
// try in doubt leaves the whole request in doubt.
func TestTries(t *testing.T) {
	shed := outcome(verdict.New(verdict.NotRun, verdict.UpstreamShed, "shed"))
	lost := outcome(verdict.New(verdict.MayHaveRun, verdict.UpstreamFailed, "lost"))
	cases := []struct {
		name       string
		method     string
		own, other []outcome
		tries      []string
		verdict    verdict.Verdict
	}{
		{"answered", http.MethodGet, nil, nil, []string{"costa-a"}, verdict.Ran},
		{"not run, then answered", http.MethodPost, []outcome{shed}, nil, []string{"costa-a", "costa-b"}, verdict.Ran},
		{"in doubt, may be repeated", http.MethodGet, []outcome{lost}, nil, []string{"costa-a", "costa-b"}, verdict.Ran},
		{"in doubt, may not be repeated", http.MethodPost, []outcome{lost}, nil, []string{"costa-a"}, verdict.MayHaveRun},
		{"in doubt, then not run", http.MethodGet, []outcome{lost}, []outcome{shed}, []string{"costa-a", "costa-b"}, verdict.MayHaveRun},
		{"not run anywhere", http.MethodGet, []outcome{shed}, []outcome{shed}, []string{"costa-a", "costa-b"}, verdict.NotRun},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newSystem(t)
			s.own, s.other = tc.own, tc.other
			svc, _ := s.View().Service("planning")
			for range 100 { // the budget of retries comes of requests
				s.begin(svc, lookup(tc.method))
			}
			a, err := s.Dispatch(context.Background(), lookup(tc.method))
			got := verdict.Ran
			if err != nil {
				got = verdict.From(err).Verdict
			} else {
				require.NoError(t, a.Body.Close())
			}
			require.Equal(t, tc.verdict.String(), got.String())
			require.Equal(t, tc.tries, s.tries)
		})
	}
}

// A host with no retries left refused requests with "full" beside a zone with room, when
// the upstream that it had tried could not be connected to. Nothing had been sent.
func TestATryThatWasNotSentNeedsNoRetry(t *testing.T) {
	for _, reason := range []verdict.Reason{verdict.UpstreamFailed, verdict.PeerFailed, verdict.PeerStopping} {
		t.Run(string(reason), func(t *testing.T) {
			s := newSystem(t)
			s.own = []outcome{verdict.New(verdict.NotRun, reason, "not sent")}
			a, err := s.Dispatch(context.Background(), lookup(http.MethodPost))
			require.NoError(t, err)
			require.NoError(t, a.Body.Close())
			require.Equal(t, []string{"costa-a", "costa-b"}, s.tries)
		})
	}
}

// fillQueue takes every slot of the own zone, and every place in its queue.
func (s *system) fillQueue(ctx context.Context) {
	gate := s.Services.Get("planning").Gate
	for range gate.Load().Held {
		_, _ = gate.Acquire(ctx, "all", time.Time{})
	}
	for range gate.Load().Held {
		go gate.Acquire(ctx, "all", time.Now().Add(time.Minute))
	}
}

// TestFullQueueIsPassedOver: a request that finds the queue of the nearest
// full zone full as well waits at the next one, instead of being refused.
func TestFullQueueIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s.fillQueue(ctx)
		synctest.Wait()
		svc, _ := s.View().Service("planning")
		r := s.begin(svc, lookup(http.MethodGet))
		r.mayQueueAt(steer.Choice{Rule: "all", Zone: "costa-a", Local: true, Full: true})
		r.mayQueueAt(steer.Choice{Rule: "all", Zone: "costa-b", Full: true})
		answer, err := r.queue(ctx)
		require.NoError(t, err)
		require.NoError(t, answer.Body.Close())
		require.Equal(t, []string{"costa-b"}, s.tries)
	})
}

// TestBufferPrefix: a short response that breaks off is a verdict, a long one
// goes on as it comes.
func TestBufferPrefix(t *testing.T) {
	broken := func(n int) io.ReadCloser {
		return io.NopCloser(io.MultiReader(strings.NewReader(strings.Repeat("x", n)), errReader{}))
	}
	cases := []struct {
		name   string
		length int64
		body   io.ReadCloser
		reason verdict.Reason
		want   int
	}{
		{"short", 10, io.NopCloser(strings.NewReader(strings.Repeat("x", 10))), "", 10},
		{"short and broken", 10, broken(5), verdict.AnswerTruncated, 0},
		{"empty", 0, io.NopCloser(strings.NewReader("")), "", 0},
		{"long", maxPrefix + 10, io.NopCloser(strings.NewReader(strings.Repeat("x", maxPrefix+10))), "", maxPrefix + 10},
		{"long and broken later", maxPrefix + 10, broken(maxPrefix + 5), "", maxPrefix + 5},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			a, err := bufferPrefix(&call.Response{Length: tc.length, Body: tc.body}, nil)
			if tc.reason != "" {
				require.Equal(t, tc.reason, verdict.From(err).Reason)
				return
			}
			require.NoError(t, err)
			body, _ := io.ReadAll(a.Body)
			require.Len(t, body, tc.want)
		})
	}
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
