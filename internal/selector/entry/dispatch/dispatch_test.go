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

// outcome is the result of one try; nil is a complete response.
type outcome *verdict.Error

// system is a host of zone costa-a. Its own zone and the other zone each return
// the listed outcomes in order, and complete responses afterwards.
type system struct {
	*Dispatcher
	own   []outcome
	other []outcome
	// tries are the zones tried, in order.
	tries []string
}

func (s *system) respond(zone string, from *[]outcome) (*call.Response, error) {
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

// sender is the client of the upstreams in the host's own zone.
type sender struct {
	*admission.Admitter
	s *system
}

func (a sender) Send(_ context.Context, req *call.Request, lease slot.Lease) (*call.Response, error) {
	a.Cancel(req.Service, lease)
	return a.s.respond("costa-a", &a.s.own)
}

func (s *system) Forward(_ context.Context, _ *call.Request, zone, _ string, _ time.Time) (*call.Response, error) {
	return s.respond(zone, &s.other)
}

func (*system) ZoneMayHelp(string) bool { return false }

func newSystem(t *testing.T) *system {
	view := configtest.View(t, doc)
	createdAt := time.Now()
	now := func() int64 { return int64(time.Hour) + int64(time.Since(createdAt)) }
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

// TestTries checks that a request that provably did not run goes to another
// zone, that a request that may have run does so only if the service allows its
// method to be repeated, and that one try in doubt leaves the request in doubt.
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
			for range 100 { // arriving requests fill the retry budget
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

// Guards against refusing a request with "full" although another zone has free
// slots. A host with an empty retry budget did so when it could not connect to the
// upstream that it tried first, although nothing had been sent.
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

// fillQueue acquires every slot of the host's own zone and fills its queue.
func (s *system) fillQueue(ctx context.Context) {
	gate := s.Services.Get("planning").Gate
	for range gate.Load().Held {
		_, _ = gate.Acquire(ctx, "all", time.Time{})
	}
	for range gate.Load().Held {
		go gate.Acquire(ctx, "all", time.Now().Add(time.Minute))
	}
}

// TestFullQueueIsPassedOver checks that a request waits in the next zone, instead
// of being refused, when the queue of the nearest full zone is also full.
func TestFullQueueIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s.fillQueue(ctx)
		synctest.Wait()
		svc, _ := s.View().Service("planning")
		r := s.begin(svc, lookup(http.MethodGet))
		r.addQueueCandidate(steer.Choice{Rule: "all", Zone: "costa-a", Local: true, Full: true})
		r.addQueueCandidate(steer.Choice{Rule: "all", Zone: "costa-b", Full: true})
		response, err := r.queue(ctx)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, []string{"costa-b"}, s.tries)
	})
}

// TestBufferPrefix checks that a truncated short response becomes a verdict, and
// that a long response is passed on as it arrives.
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
