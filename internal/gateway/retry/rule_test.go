package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// with returns a copy of a state with a change.
func with(s State, change func(*State)) State {
	change(&s)
	return s
}

func TestMayRetry(t *testing.T) {
	// failed has one attempt that did not run, and one more allowed.
	failed := State{Attempts: 1, MaxAttempts: 2}
	for _, c := range []struct {
		rule  string
		state State
		done  bool
		want  bool
	}{
		{"a request that did not run is retried", failed, false, true},
		{"a request that may have run is not sent again", with(failed, func(s *State) { s.MayHaveRun = true }), false, false},
		{"a repeatable request that may have run is retried", with(failed, func(s *State) { s.MayHaveRun, s.Repeatable = true, true }), false, true},
		{"the route limits the attempts", with(failed, func(s *State) { s.Attempts = 2 }), false, false},
		{"a route without a limit has one attempt", with(failed, func(s *State) { s.MaxAttempts = 0 }), false, false},
		{"refused connections do not count as attempts", with(failed, func(s *State) { s.Attempts, s.Refused = maxUncountedRefusals+1, maxUncountedRefusals }), false, true},
		{"refused connections above the maximum count", with(failed, func(s *State) { s.Attempts, s.Refused = maxUncountedRefusals+2, maxUncountedRefusals+1 }), false, false},
		{"a connection that was not made in time counts as an attempt", with(failed, func(s *State) { s.Attempts, s.Unanswered = 2, 1 }), false, false},
		{"a request that nobody waits for is not retried", with(failed, func(s *State) { s.Repeatable = true }), true, false},
	} {
		t.Run(c.rule, func(t *testing.T) {
			require.Equal(t, c.want, c.state.MayRetry(c.done))
		})
	}
}

func TestExtraAttemptsNeedAnUpstreamWithFreeCapacity(t *testing.T) {
	within := State{Attempts: 1, MaxAttempts: 2, Refused: 1}
	above := with(within, func(s *State) { s.Attempts, s.Refused = 2, 2 })
	require.True(t, within.MayUseUpstream(5))
	require.True(t, above.MayUseUpstream(maxExtraAttemptLoad/2))
	require.False(t, above.MayUseUpstream(maxExtraAttemptLoad))
}

func TestMayRedial(t *testing.T) {
	unanswered := State{Attempts: 2, MaxAttempts: 2, Unanswered: 1}
	for _, c := range []struct {
		rule    string
		state   State
		elapsed time.Duration
		want    bool
	}{
		{"an upstream that did not answer is dialed again", unanswered, time.Second - 1, true},
		{"without unanswered upstreams nothing is redialed", with(unanswered, func(s *State) { s.Unanswered = 0 }), 0, false},
		{"the client keeps half of its time for another host", unanswered, time.Second, false},
		{"the route limits the attempts", with(unanswered, func(s *State) { s.Attempts = 3 }), 0, false},
		{"a request that may have run is not sent again", with(unanswered, func(s *State) { s.MayHaveRun = true }), 0, false},
		{"a quarantined request is not sent again", with(unanswered, func(s *State) { s.Quarantined = true }), 0, false},
	} {
		t.Run(c.rule, func(t *testing.T) {
			require.Equal(t, c.want, c.state.MayRedial(c.elapsed, 2*time.Second))
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
		{"a repeatable request is hedged", overdue, time.Second, true},
		{"a request that is not repeatable is not hedged", with(overdue, func(s *State) { s.Repeatable = false }), time.Second, false},
		{"the route limits the attempts", with(overdue, func(s *State) { s.Attempts = 2 }), time.Second, false},
		{"an upstream that did not answer does not use up an attempt", with(overdue, func(s *State) { s.Attempts, s.Unanswered = 2, 1 }), time.Second, true},
		{"without time for another response it is not hedged", overdue, time.Second - 1, false},
	} {
		t.Run(c.rule, func(t *testing.T) {
			require.Equal(t, c.want, c.state.MayHedge(c.timeLeft, time.Second))
		})
	}
}
