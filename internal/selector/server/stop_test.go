package server

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/verdict"
)

const lookup = "GET /s/s/x HTTP/1.1\r\nHost: h\r\n\r\n"

func respondWhole(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }

// A keep-alive connection could be closed without a response to a request that
// an upstream had received, while the stop reported no cut requests:
//
//  1. the connection's goroutine read the request's bytes from the kernel and
//     was not scheduled again;
//  2. the grace period of the stop ended, no request was counted as in flight,
//     and the host handed over its tickets and left;
//  3. http.Server.Shutdown closed the connection, which was still considered
//     idle.
//
// Therefore the goroutine that reads a connection closes it, before the stop
// counts requests.
func TestARequestThatWasReadBeforeTheStopClosesIdleConnectionsIsAnswered(t *testing.T) {
	s, _ := startBoth(t, stopAfter(400*time.Millisecond, 5*time.Second), respondWhole)
	c := s.connect(s.delayedAddr.String())
	c.write(lookup)
	c.response()
	s.readDelay.Store(int64(300 * time.Millisecond))
	report := s.stop()
	time.Sleep(300 * time.Millisecond)
	c.write(lookup)
	resp, body := c.response()
	require.Equal(t, http.StatusOK, resp.StatusCode, body)
	require.Equal(t, "whole", body)
	require.Zero(t, (<-report).Cut)
}

// A request that arrived after the wait for requests in flight, while the host
// handed over its tickets and left, was cut after at most one second, but the
// stop reported no cut requests.
func TestNoRequestIsCutByAStopThatReportsNone(t *testing.T) {
	s, _ := startBoth(t, stopAfter(300*time.Millisecond, 5*time.Second), func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			time.Sleep(2 * time.Second)
		}
		respondWhole(w, r)
	})
	c := s.connect(s.delayedAddr.String())
	c.write(lookup)
	c.response()
	s.readDelay.Store(int64(200 * time.Millisecond))
	report := s.stop()
	time.Sleep(200 * time.Millisecond)
	s.memory.SetFault(func(string, bool) error { // a slow platform delays leaving
		time.Sleep(200 * time.Millisecond)
		return nil
	})
	c.write(strings.Replace(lookup, "/x", "/slow", 1))
	resp, body := c.response()
	require.Equal(t, http.StatusOK, resp.StatusCode, body)
	require.Equal(t, "whole", body)
	require.Zero(t, (<-report).Cut)
}

// If the connections of requests in flight are closed without a response at the
// end of the window, clients don't know whether their requests have run.
func TestRequestsInFlightAtTheEndOfTheWindowGetAVerdict(t *testing.T) {
	started, release := make(chan struct{}, 2), make(chan struct{})
	s := startServer(t, stopAfter(100*time.Millisecond, time.Second), func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/x" {
			started <- struct{}{}
			<-release
		}
		respondWhole(w, r)
	})
	defer close(release)
	running, queued, sending := s.connect(s.CallerAddr), s.connect(s.CallerAddr), s.connect(s.CallerAddr)
	running.write(lookup)
	<-started
	queued.write(lookup) // the slot is in use
	sending.write("POST /s/s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nab")
	require.Eventually(t, func() bool { return s.Host.Status().InFlight == 3 }, time.Second, time.Millisecond)
	report := s.stop()
	for _, want := range []struct {
		c       *client
		status  int
		reason  verdict.Reason
		verdict verdict.Verdict
	}{
		{running, http.StatusGatewayTimeout, verdict.Interrupted, verdict.MayHaveRun},
		{queued, http.StatusServiceUnavailable, verdict.Stopping, verdict.NotRun},
		{sending, http.StatusServiceUnavailable, verdict.Stopping, verdict.NotRun},
	} {
		resp, body := want.c.response()
		require.Equal(t, want.status, resp.StatusCode, body)
		require.Contains(t, body, `"title":"`+string(want.reason)+`"`)
		require.Equal(t, want.verdict.String(), resp.Header.Get(verdict.Header))
		require.True(t, resp.Close, "the connection must close")
	}
	require.EqualValues(t, 3, (<-report).Cut)
}

// An incomplete response must be included in the cut requests that a stop
// reports.
func TestACutResponseIsIncompleteAndIsReported(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	s := startServer(t, stopAfter(100*time.Millisecond, 500*time.Millisecond), func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/x" {
			return
		}
		_, _ = w.Write(bytes.Repeat([]byte("x"), 64<<10))
		_ = http.NewResponseController(w).Flush()
		close(started)
		<-release
	})
	defer close(release)
	c := s.connect(s.CallerAddr)
	c.write(lookup)
	<-started
	report := s.stop()
	resp, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.Error(t, err, "an incomplete response must not look complete")
	require.EqualValues(t, 1, (<-report).Cut)
}

// If a client does not read, its handler blocks in a write, which the end of the
// context does not interrupt. The request is in flight both for the listener
// and for the host, and must be counted as cut only once.
func TestAClientThatDoesNotReadIsCutOnce(t *testing.T) {
	s := startServer(t, stopAfter(100*time.Millisecond, 500*time.Millisecond), func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/x" {
			_, _ = w.Write(make([]byte, 64<<20))
		}
	})
	c := s.connect(s.CallerAddr)
	c.write(lookup)
	_, err := c.reader.Peek(1)
	require.NoError(t, err)
	require.EqualValues(t, 1, (<-s.stop()).Cut)
}

// Requests that another host forwarded to this host must be included in the cut
// requests that a stop reports.
func TestACutRequestOfAnotherHostIsReported(t *testing.T) {
	started, release := make(chan struct{}, 4), make(chan struct{})
	s, other := startBoth(t, stopAfter(100*time.Millisecond, 500*time.Millisecond), func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/x" {
			started <- struct{}{}
			<-release
		}
	})
	defer close(release)
	for range 2 { // one for each slot
		s.connect(other.CallerAddr).write(lookup)
		<-started
	}
	require.EqualValues(t, 1, s.Host.Status().InFlight)
	require.EqualValues(t, 1, (<-s.stop()).Cut)
}

// putConfig returns an operator's request for a change that stays pending.
func putConfig(id string) string {
	const doc = "[[zone]]\nname = \"c\"\nregion = \"r\"\n"
	return fmt.Sprintf("PUT /v1/config?wait=30s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nCairndock-Change: %s\r\n"+
		"If-Match: \"1\"\r\nContent-Length: %d\r\n\r\n%s", testToken, id, len(doc), doc)
}

// If all operator connections are closed at the end of a stop, an operator whose
// change was accepted gets no response.
func TestAnOperatorsChangeThatWasAcceptedIsAnsweredByAStop(t *testing.T) {
	s := startServer(t, stopAfter(100*time.Millisecond, 5*time.Second), respondWhole)
	c := s.connect(s.OperatorAddr)
	c.write(putConfig("mine"))
	require.Eventually(t, func() bool { return s.Host.View().Revision() == 2 }, 3*time.Second, time.Millisecond, "accepted")
	report := s.stop()
	resp, body := c.response()
	require.Equal(t, http.StatusAccepted, resp.StatusCode, body)
	require.Contains(t, body, `"state":"pending"`)
	require.Zero(t, (<-report).Cut)
}

// If the connection of a partially received change is closed without a response,
// the operator does not know that the change was not accepted.
func TestAnIncompleteOperatorChangeIsRefusedByAStop(t *testing.T) {
	s := startServer(t, stopAfter(100*time.Millisecond, 5*time.Second), respondWhole)
	c := s.connect(s.OperatorAddr)
	text := putConfig("mine")
	c.write(text[:len(text)-5])
	time.Sleep(50 * time.Millisecond) // so that its header is read
	report := s.stop()
	resp, body := c.response()
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Contains(t, body, "the change was not accepted")
	require.EqualValues(t, 1, (<-report).Cut)
	require.EqualValues(t, 1, s.Host.View().Revision())
}

// The connection of a partially received operator request must not be closed by
// a stop before the request is served.
func TestAPartlyReceivedOperatorRequestIsServedByAStop(t *testing.T) {
	s := startServer(t, stopAfter(100*time.Millisecond, 5*time.Second), respondWhole)
	c := s.connect(s.OperatorAddr)
	const text = "GET /v1/status HTTP/1.1\r\nHost: h\r\n\r\n"
	c.write(text[:10])
	report := s.stop()
	time.Sleep(400 * time.Millisecond)
	c.write(text[10:])
	resp, _ := c.response()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Zero(t, (<-report).Cut)
}
