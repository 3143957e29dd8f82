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

func whole(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }

// Clients saw a kept connection closed with no response to a request that an
// upstream had got, while the stop reported that nothing was cut:
//
//  1. the connection's goroutine read the request's bytes from the kernel, and
//     was not run again;
//  2. the stop's grace ended, nothing counted as in flight, the host handed its
//     tickets over and left;
//  3. http.Server.Shutdown closed the connection, which still counted as idle.
//
// So connections end where they are read, and before the stop counts.
func TestARequestThatWasReadBeforeTheStopClosesIdleConnectionsIsAnswered(t *testing.T) {
	s, _ := startBoth(t, stopAfter(400*time.Millisecond, 5*time.Second), whole)
	c := s.connect(s.extra.String())
	c.write(lookup)
	c.response()
	s.late.Store(int64(300 * time.Millisecond))
	report := s.stop()
	time.Sleep(300 * time.Millisecond)
	c.write(lookup)
	resp, body := c.response()
	require.Equal(t, http.StatusOK, resp.StatusCode, body)
	require.Equal(t, "whole", body)
	require.Zero(t, (<-report).Cut)
}

// A request that came after the wait for requests in flight, while the host
// handed its tickets over and left, was served for a second at most and was then
// cut, while the stop reported that nothing was.
func TestNoRequestIsCutByAStopThatReportsNone(t *testing.T) {
	s, _ := startBoth(t, stopAfter(300*time.Millisecond, 5*time.Second), func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			time.Sleep(2 * time.Second)
		}
		whole(w, r)
	})
	c := s.connect(s.extra.String())
	c.write(lookup)
	c.response()
	s.late.Store(int64(200 * time.Millisecond))
	report := s.stop()
	time.Sleep(200 * time.Millisecond)
	s.memory.SetFault(func(string, bool) error { // the platform is slow, and so is leaving
		time.Sleep(200 * time.Millisecond)
		return nil
	})
	c.write(strings.Replace(lookup, "/x", "/slow", 1))
	resp, body := c.response()
	require.Equal(t, http.StatusOK, resp.StatusCode, body)
	require.Equal(t, "whole", body)
	require.Zero(t, (<-report).Cut)
}

// At the end of the window the connections of requests in flight were closed
// with no response, so that their clients did not know whether they had run.
func TestRequestsInFlightAtTheEndOfTheWindowGetAVerdict(t *testing.T) {
	started, release := make(chan struct{}, 2), make(chan struct{})
	s := startServer(t, stopAfter(100*time.Millisecond, time.Second), func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/x" {
			started <- struct{}{}
			<-release
		}
		whole(w, r)
	})
	defer close(release)
	running, queued, sending := s.connect(s.CallerAddr), s.connect(s.CallerAddr), s.connect(s.CallerAddr)
	running.write(lookup)
	<-started
	queued.write(lookup) // the slot is taken
	sending.write("POST /s/s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nab")
	require.Eventually(t, func() bool { return s.Host.Status().InFlight == 3 }, time.Second, time.Millisecond)
	report := s.stop()
	for _, want := range []struct {
		c      *client
		status int
		reason verdict.Reason
		proved verdict.Verdict
	}{
		{running, http.StatusGatewayTimeout, verdict.Interrupted, verdict.MayHaveRun},
		{queued, http.StatusServiceUnavailable, verdict.Stopping, verdict.NotRun},
		{sending, http.StatusServiceUnavailable, verdict.Stopping, verdict.NotRun},
	} {
		resp, body := want.c.response()
		require.Equal(t, want.status, resp.StatusCode, body)
		require.Contains(t, body, `"title":"`+string(want.reason)+`"`)
		require.Equal(t, want.proved.String(), resp.Header.Get(verdict.Header))
		require.True(t, resp.Close, "the connection ends")
	}
	require.EqualValues(t, 3, (<-report).Cut)
}

// What the stop reports as cut includes a response that breaks off.
func TestAResponseThatIsCutBreaksOffAndIsReported(t *testing.T) {
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
	require.Error(t, err, "a response that breaks off never looks whole")
	require.EqualValues(t, 1, (<-report).Cut)
}

// A client that does not read holds its handler in a write, which no end of a
// context reaches. It is in flight for the host as well, and is cut once.
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

// What the stop reports as cut includes requests that another host sent here.
func TestARequestOfAnotherHostThatIsCutIsReported(t *testing.T) {
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

// putConfig is an operator's change that is not soon in force everywhere.
func putConfig(id string) string {
	const doc = "[[zone]]\nname = \"c\"\nregion = \"r\"\n"
	return fmt.Sprintf("PUT /v1/config?wait=30s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nCairndock-Change: %s\r\n"+
		"If-Match: \"1\"\r\nContent-Length: %d\r\n\r\n%s", testToken, id, len(doc), doc)
}

// The connections of operators were closed at the end of a stop whatever they
// carried: a change was accepted, and its operator did not hear of it.
func TestAnOperatorsChangeThatWasAcceptedIsAnsweredByAStop(t *testing.T) {
	s := startServer(t, stopAfter(100*time.Millisecond, 5*time.Second), whole)
	c := s.connect(s.OperatorAddr)
	c.write(putConfig("mine"))
	require.Eventually(t, func() bool { return s.Host.View().Revision() == 2 }, 3*time.Second, time.Millisecond, "accepted")
	report := s.stop()
	resp, body := c.response()
	require.Equal(t, http.StatusAccepted, resp.StatusCode, body)
	require.Contains(t, body, `"state":"pending"`)
	require.Zero(t, (<-report).Cut)
}

// A change that did not arrive whole was closed without a word: its operator
// did not know that it was not accepted.
func TestAnOperatorsChangeThatDoesNotArriveIsRefusedByAStop(t *testing.T) {
	s := startServer(t, stopAfter(100*time.Millisecond, 5*time.Second), whole)
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

// A request of an operator that had begun to arrive was closed as well.
func TestAnOperatorsRequestThatHasBegunIsAnsweredByAStop(t *testing.T) {
	s := startServer(t, stopAfter(100*time.Millisecond, 5*time.Second), whole)
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
