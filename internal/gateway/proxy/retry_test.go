package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDecideRetry(t *testing.T) {
	// failed is an attempt that did not run, with another one allowed.
	failed := retryState{attempts: 1, maxAttempts: 2}
	with := func(change func(*retryState)) retryState {
		s := failed
		change(&s)
		return s
	}
	for _, c := range []struct {
		rule  string
		state retryState
		want  retryDecision
	}{
		{"what did not run is sent again within the budget", failed, retryIfGranted},
		{"what may have run is not sent again", with(func(s *retryState) { s.mayHaveRun = true }), giveUp},
		{"what may have run is sent again if it is repeatable", with(func(s *retryState) { s.mayHaveRun, s.repeatable = true, true }), retryIfGranted},
		{"the budget is not asked twice for one retry", with(func(s *retryState) { s.mayHaveRun, s.repeatable, s.granted = true, true, true }), retryNow},
		{"the route's attempts are a bound", with(func(s *retryState) { s.attempts = 2 }), giveUp},
		{"a route without a bound has one attempt", with(func(s *retryState) { s.maxAttempts = 0 }), giveUp},
		{"a granted retry keeps within the route's attempts", with(func(s *retryState) { s.attempts, s.granted = 2, true }), giveUp},
		{"nothing is sent again when nobody waits for it", with(func(s *retryState) { s.ended, s.repeatable, s.granted = true, true, true }), giveUp},
	} {
		t.Run(c.rule, func(t *testing.T) {
			require.Equal(t, c.want, decideRetry(c.state))
		})
	}
}

func TestMayResend(t *testing.T) {
	overdue := resendState{repeatable: true, attempts: 1, maxAttempts: 2, timeLeft: time.Second, overdueAfter: time.Second}
	with := func(change func(*resendState)) resendState {
		s := overdue
		change(&s)
		return s
	}
	for _, c := range []struct {
		rule  string
		state resendState
		want  bool
	}{
		{"a repeatable request is sent to another upstream", overdue, true},
		{"another one is not", with(func(s *resendState) { s.repeatable = false }), false},
		{"the route's attempts are a bound", with(func(s *resendState) { s.attempts = 2 }), false},
		{"there must be time for another response", with(func(s *resendState) { s.timeLeft-- }), false},
	} {
		t.Run(c.rule, func(t *testing.T) {
			require.Equal(t, c.want, mayResend(c.state))
		})
	}
}
