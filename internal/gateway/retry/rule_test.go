package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// with gives a state with a change.
func with(s State, change func(*State)) State {
	change(&s)
	return s
}

func TestMayRetry(t *testing.T) {
	// failed is an attempt that did not run, with another one allowed.
	failed := State{Attempts: 1, MaxAttempts: 2}
	for _, c := range []struct {
		rule  string
		state State
		ended bool
		want  bool
	}{
		{"what did not run is sent again within the budget", failed, false, true},
		{"what may have run is not sent again", with(failed, func(s *State) { s.MayHaveRun = true }), false, false},
		{"what may have run is sent again if it is repeatable", with(failed, func(s *State) { s.MayHaveRun, s.Repeatable = true, true }), false, true},
		{"the route's attempts are a bound", with(failed, func(s *State) { s.Attempts = 2 }), false, false},
		{"a route without a bound has one attempt", with(failed, func(s *State) { s.MaxAttempts = 0 }), false, false},
		{"refused connections leave the route's attempts", with(failed, func(s *State) { s.Attempts, s.Refused = 5, 4 }), false, true},
		{"but not any number of them", with(failed, func(s *State) { s.Attempts, s.Refused = 6, 5 }), false, false},
		{"a connection that was not made in time is an attempt", with(failed, func(s *State) { s.Attempts, s.Unanswered = 2, 1 }), false, false},
		{"nothing is sent again when nobody waits for it", with(failed, func(s *State) { s.Repeatable = true }), true, false},
	} {
		t.Run(c.rule, func(t *testing.T) {
			require.Equal(t, c.want, c.state.MayRetry(c.ended))
		})
	}
}

func TestARequestWithRefusedConnectionsOnlyAddsToUpstreamsWithRoom(t *testing.T) {
	within := State{Attempts: 1, MaxAttempts: 2, Refused: 1}
	above := with(within, func(s *State) { s.Attempts, s.Refused = 2, 2 })
	require.True(t, within.MayGoTo(5))
	require.True(t, above.MayGoTo(roomyLoad/2))
	require.False(t, above.MayGoTo(roomyLoad))
}

func TestMayRedial(t *testing.T) {
	unanswered := State{Attempts: 2, MaxAttempts: 2, Unanswered: 1}
	for _, c := range []struct {
		rule  string
		state State
		held  time.Duration
		want  bool
	}{
		{"an upstream that did not answer is dialed again", unanswered, time.Second - 1, true},
		{"where all are known not to serve there is none to dial", with(unanswered, func(s *State) { s.Unanswered = 0 }), 0, false},
		{"the client keeps half of its time for another host", unanswered, time.Second, false},
		{"the route's attempts are a bound", with(unanswered, func(s *State) { s.Attempts = 3 }), 0, false},
		{"what may have run is not sent again", with(unanswered, func(s *State) { s.MayHaveRun = true }), 0, false},
		{"nor is a quarantined request", with(unanswered, func(s *State) { s.Quarantined = true }), 0, false},
	} {
		t.Run(c.rule, func(t *testing.T) {
			require.Equal(t, c.want, c.state.MayRedial(c.held, 2*time.Second))
		})
	}
}

func TestMayHedge(t *testing.T) {
	overdue := State{Repeatable: true, Attempts: 1, MaxAttempts: 2}
	for _, c := range []struct {
		rule     string
		state    State
		timeLeft time.Duration
		want     bool
	}{
		{"a repeatable request is sent to another upstream", overdue, time.Second, true},
		{"another one is not", with(overdue, func(s *State) { s.Repeatable = false }), time.Second, false},
		{"the route's attempts are a bound", with(overdue, func(s *State) { s.Attempts = 2 }), time.Second, false},
		{"an upstream that did not answer leaves it the attempt", with(overdue, func(s *State) { s.Attempts, s.Unanswered = 2, 1 }), time.Second, true},
		{"there must be time for another response", overdue, time.Second - 1, false},
	} {
		t.Run(c.rule, func(t *testing.T) {
			require.Equal(t, c.want, c.state.MayHedge(c.timeLeft, time.Second))
		})
	}
}
