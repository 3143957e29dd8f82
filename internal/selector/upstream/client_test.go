package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/call"
	"cairndock/internal/selector/slot"
	"cairndock/internal/verdict"
)

// heldServer is a server whose handler signals its start and its end, and runs
// until letFinish is called.
type heldServer struct {
	server  *httptest.Server
	started chan struct{}
	finish  chan struct{}
	ended   chan struct{}
	once    sync.Once
}

// letFinish lets the handler return.
func (h *heldServer) letFinish() { h.once.Do(func() { close(h.finish) }) }

// newHeldServer starts a server whose requests run until letFinish is called,
// also if the client leaves.
func newHeldServer(t *testing.T) *heldServer {
	h := &heldServer{started: make(chan struct{}, 1), finish: make(chan struct{}), ended: make(chan struct{})}
	h.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		h.started <- struct{}{}
		<-h.finish
		_, _ = io.WriteString(w, "late")
		close(h.ended)
	}))
	t.Cleanup(h.server.Close)
	t.Cleanup(h.letFinish) // runs first
	return h
}

func get(d time.Duration) *call.Request {
	return &call.Request{Service: "s", Method: http.MethodGet, Target: "/x", Deadline: time.Now().Add(d)}
}

func targetOf(s *httptest.Server) Target {
	return Target{Name: "up", Zone: "z", Addr: s.Listener.Addr().String()}
}

// TestSlotIsHeldUntilTheUpstreamIsDone cancels a request that the upstream
// continues to run. The slot must not become free before the upstream is done.
func TestSlotIsHeldUntilTheUpstreamIsDone(t *testing.T) {
	h := newHeldServer(t)
	c := New(nil, nil)
	ctx, cancel := context.WithCancel(context.Background())
	free := make(chan slot.Outcome, 1)
	failed := make(chan error, 1)
	go func() {
		_, err := c.Send(ctx, targetOf(h.server), get(time.Minute), func(o slot.Outcome, _ time.Duration) { free <- o })
		failed <- err
	}()
	<-h.started
	cancel()
	e := verdict.From(<-failed)
	require.Equal(t, verdict.MayHaveRun, e.Verdict)
	require.Equal(t, verdict.CallerLeft, e.Reason)
	select {
	case <-free:
		t.Fatal("slot became free while the request ran")
	case <-time.After(50 * time.Millisecond):
	}
	h.letFinish()
	<-h.ended
	require.Equal(t, slot.Failure, <-free)
}

func TestVerdicts(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		refuse  bool
		timeout time.Duration
		want    verdict.Verdict
		reason  verdict.Reason
		outcome slot.Outcome
	}{
		{name: "connection refused", refuse: true, want: verdict.NotRun, reason: verdict.UpstreamFailed, outcome: slot.Failure},
		{name: "refused by the upstream", want: verdict.NotRun, reason: verdict.UpstreamShed, outcome: slot.Shed,
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(call.HeaderShed, "not-run")
				w.WriteHeader(http.StatusServiceUnavailable)
			}},
		{name: "closed without a response", want: verdict.MayHaveRun, reason: verdict.UpstreamFailed, outcome: slot.Failure,
			handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
		{name: "no response in time", timeout: time.Second, want: verdict.MayHaveRun, reason: verdict.DeadlineLapsed, outcome: slot.Failure,
			// The handler must not respond when the connection closes, because
			// the response could arrive before the client notices its deadline.
			handler: func(_ http.ResponseWriter, r *http.Request) {
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}},
		{name: "deadline passed before it was sent", timeout: -time.Second, want: verdict.NotRun, reason: verdict.DeadlineLapsed, outcome: slot.Failure,
			handler: func(http.ResponseWriter, *http.Request) {}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			server := httptest.NewUnstartedServer(tc.handler)
			server.Config.ErrorLog = nil
			server.Start()
			target := targetOf(server)
			if tc.refuse {
				server.Close()
			} else {
				defer server.Close()
			}
			timeout := tc.timeout
			if timeout == 0 {
				timeout = 10 * time.Second
			}
			free := make(chan slot.Outcome, 1)
			_, err := New(nil, nil).Send(context.Background(), target, get(timeout), func(o slot.Outcome, _ time.Duration) { free <- o })
			e := verdict.From(err)
			require.NotNil(t, e)
			require.Equal(t, tc.want, e.Verdict)
			require.Equal(t, tc.reason, e.Reason)
			require.Equal(t, tc.outcome, <-free)
		})
	}
}

// TestClassify checks the classification of attempts without a response.
func TestClassify(t *testing.T) {
	cases := []struct {
		name    string
		written bool
		ctxErr  error
		verdict verdict.Verdict
		reason  verdict.Reason
		outcome slot.Outcome
	}{
		{"not sent, upstream failed", false, nil, verdict.NotRun, verdict.UpstreamFailed, slot.Failure},
		{"not sent in time", false, context.DeadlineExceeded, verdict.NotRun, verdict.DeadlineLapsed, slot.Failure},
		{"not sent, client left", false, context.Canceled, verdict.NotRun, verdict.DeadlineLapsed, slot.Unused},
		{"sent, upstream failed", true, nil, verdict.MayHaveRun, verdict.UpstreamFailed, slot.Failure},
		{"sent, no response in time", true, context.DeadlineExceeded, verdict.MayHaveRun, verdict.DeadlineLapsed, slot.Failure},
		{"sent, client left", true, context.Canceled, verdict.MayHaveRun, verdict.CallerLeft, slot.Failure},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := classify(tc.written, tc.ctxErr)
			require.Equal(t, tc.verdict, f.verdict)
			require.Equal(t, tc.reason, f.reason)
			require.Equal(t, tc.outcome, f.outcome)
		})
	}
}

// TestBodies checks that only a body whose end is certain returns io.EOF.
func TestBodies(t *testing.T) {
	const whole = "0123456789"
	cases := []struct {
		name string
		raw  string
		ok   bool
	}{
		{"with a length", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n" + whole, true},
		{"in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\n" + whole + "\r\n0\r\n\r\n", true},
		{"short of its length", "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n" + whole, false},
		{"without the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\n" + whole + "\r\n", false},
		{"without any length", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + whole, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = c.Read(make([]byte, 4096))
				_, _ = fmt.Fprint(c, tc.raw)
				_ = c.Close()
			}()
			free := make(chan slot.Outcome, 1)
			target := Target{Name: "up", Zone: "z", Addr: l.Addr().String()}
			a, err := New(nil, nil).Send(context.Background(), target, get(10*time.Second), func(o slot.Outcome, _ time.Duration) { free <- o })
			require.NoError(t, err)
			body, err := io.ReadAll(a.Body)
			require.NoError(t, a.Body.Close())
			if tc.ok {
				require.NoError(t, err)
				require.Equal(t, whole, string(body))
				require.Equal(t, slot.Success, <-free)
				return
			}
			require.Error(t, err)
			require.Equal(t, slot.Failure, <-free)
		})
	}
}
