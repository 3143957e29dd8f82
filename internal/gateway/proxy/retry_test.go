package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// with gives a state with a change.
func with(s retryState, change func(*retryState)) retryState {
	change(&s)
	return s
}

func TestMayRetry(t *testing.T) {
	// failed is an attempt that did not run, with another one allowed.
	failed := retryState{attempts: 1, maxAttempts: 2}
	for _, c := range []struct {
		rule  string
		state retryState
		ended bool
		want  bool
	}{
		{"what did not run is sent again within the budget", failed, false, true},
		{"what may have run is not sent again", with(failed, func(s *retryState) { s.mayHaveRun = true }), false, false},
		{"what may have run is sent again if it is repeatable", with(failed, func(s *retryState) { s.mayHaveRun, s.repeatable = true, true }), false, true},
		{"the route's attempts are a bound", with(failed, func(s *retryState) { s.attempts = 2 }), false, false},
		{"a route without a bound has one attempt", with(failed, func(s *retryState) { s.maxAttempts = 0 }), false, false},
		{"nothing is sent again when nobody waits for it", with(failed, func(s *retryState) { s.repeatable = true }), true, false},
	} {
		t.Run(c.rule, func(t *testing.T) {
			require.Equal(t, c.want, mayRetry(c.state, c.ended))
		})
	}
}

func TestMayHedge(t *testing.T) {
	overdue := retryState{repeatable: true, attempts: 1, maxAttempts: 2}
	for _, c := range []struct {
		rule     string
		state    retryState
		timeLeft time.Duration
		want     bool
	}{
		{"a repeatable request is sent to another upstream", overdue, time.Second, true},
		{"another one is not", with(overdue, func(s *retryState) { s.repeatable = false }), time.Second, false},
		{"the route's attempts are a bound", with(overdue, func(s *retryState) { s.attempts = 2 }), time.Second, false},
		{"there must be time for another response", overdue, time.Second - 1, false},
	} {
		t.Run(c.rule, func(t *testing.T) {
			require.Equal(t, c.want, mayHedge(c.state, c.timeLeft, time.Second))
		})
	}
}
