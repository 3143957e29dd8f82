package retry_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/retry"
)

// simulationStep is the time between two requests to a host of a simulatedHosts.
const simulationStep = 50 * time.Millisecond

// simulatedHosts are hosts with a budget each. From failing on, upstreams fail all
// attempts, so that each request takes a retry whenever its budget grants one.
type simulatedHosts struct {
	rounding float64
	start    time.Time
	// failing is when the upstreams begin to fail, as an offset from start.
	failing time.Duration
	budgets []*retry.Budget
	// requests and retries are offsets from start, in order.
	requests, retries []time.Duration
}

// newSimulatedHosts returns hosts that have run for longer than a window.
func newSimulatedHosts(hosts int, failing time.Duration, rounding float64) *simulatedHosts {
	s := &simulatedHosts{rounding: rounding, start: time.Now(), failing: failing}
	for range hosts {
		s.budgets = append(s.budgets, retry.NewBudget(limits, s.start.Add(-2*limits.Window), rounding))
	}
	return s
}

// restart replaces the processes of all hosts.
func (s *simulatedHosts) restart(at time.Duration) {
	for i := range s.budgets {
		s.budgets[i] = retry.NewBudget(limits, s.start.Add(at), s.rounding)
	}
}

// receive lets the hosts from first to last receive a request each.
func (s *simulatedHosts) receive(at time.Duration, first, last int) {
	now := s.start.Add(at)
	for _, b := range s.budgets[first:last] {
		b.RecordRequest("s", now)
		s.requests = append(s.requests, at)
		for at >= s.failing && b.TryRetry("s", 1/float64(len(s.budgets)), now) != nil {
			s.retries = append(s.retries, at)
		}
	}
}

// requireWithinLimit requires that all hosts together were within the limit in each
// window. The platform counts the requests of the same window, of the one before or of
// the one half a window before, whichever has the most.
func (s *simulatedHosts) requireWithinLimit(t *testing.T) {
	t.Helper()
	for _, from := range s.retries {
		requests := 0
		for _, earlier := range []time.Duration{0, limits.Window / 2, limits.Window} {
			requests = max(requests, countWithin(s.requests, from-earlier))
		}
		allowed := limits.Ratio*float64(requests) + limits.Slack
		require.LessOrEqual(t, float64(countWithin(s.retries, from)), allowed, "%d requests, in the window from %s", requests, from)
	}
	require.NotEmpty(t, s.retries)
}

// countWithin returns how many of the offsets are in the window that begins at from.
func countWithin(offsets []time.Duration, from time.Duration) int {
	n := 0
	for _, at := range offsets {
		if at >= from && at < from+limits.Window {
			n++
		}
	}
	return n
}

// simulationEnd is when the simulations below end, and failuresBegin when upstreams begin to
// fail. By then the hosts have received requests for longer than a window.
const (
	simulationEnd = 30 * time.Second
	failuresBegin = 12 * time.Second
)

func TestRetriesStayWithinTheLimitWhenHostsRestartWhileUpstreamsFail(t *testing.T) {
	for restart := failuresBegin + time.Second; restart < failuresBegin+limits.Window; restart += time.Second {
		s := newSimulatedHosts(9, failuresBegin, math.Nextafter(1, 0))
		for at := time.Duration(0); at < simulationEnd; at += simulationStep {
			if at == restart {
				s.restart(at)
			}
			s.receive(at, 0, 9)
		}
		s.requireWithinLimit(t)
	}
}

func TestRetriesStayWithinTheLimitWhenClientsMoveToOtherHostsWhileUpstreamsFail(t *testing.T) {
	for move := failuresBegin + time.Second; move < failuresBegin+limits.Window; move += time.Second {
		s := newSimulatedHosts(10, failuresBegin, 0)
		for at := time.Duration(0); at < simulationEnd; at += simulationStep {
			if at < move {
				s.receive(at, 0, 5)
			} else {
				s.receive(at, 5, 10)
			}
		}
		s.requireWithinLimit(t)
	}
}
