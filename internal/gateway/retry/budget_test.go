package retry_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/retry"
)

var limits = retry.Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: 58}

// maxRounding is the largest rounding that a process can draw.
var maxRounding = math.Nextafter(1, 0)

// All hosts together stay within the limit in every window, however many retries they
// request.
func TestRetriesOfAllHostsStayWithinTheLimitInEveryWindow(t *testing.T) {
	for _, rounding := range []float64{0, maxRounding} {
		t.Run(fmt.Sprint(rounding), func(t *testing.T) { testRetriesOfAllHosts(t, rounding) })
	}
}

func testRetriesOfAllHosts(t *testing.T, rounding float64) {
	const hosts = 9
	start := time.Now()
	budgets := make([]*retry.Budget, hosts)
	for i := range budgets {
		budgets[i] = retry.NewBudget(limits, start.Add(-limits.Window), rounding)
	}
	var taken []time.Time
	const step, requestsPerStep = 100 * time.Millisecond, 4
	for at := start; at.Sub(start) < time.Minute; at = at.Add(step) {
		for _, b := range budgets {
			for range requestsPerStep {
				b.RecordRequest("s", at)
				if b.TryRetry("s", 1.0/hosts, at) != nil {
					taken = append(taken, at)
				}
			}
		}
	}
	requests := float64(hosts*requestsPerStep) * float64(limits.Window/step)
	allowed := limits.Ratio*requests + limits.Slack
	for i, first := range taken {
		n := 0
		for _, at := range taken[i:] {
			if at.Sub(first) < limits.Window {
				n++
			}
		}
		require.LessOrEqual(t, float64(n), allowed)
	}
	require.NotEmpty(t, taken)
}

// After a restart of all hosts, a new process does not know which hosts share the slack,
// nor how much of its share the previous process spent. Nine hosts with one request per
// second each sent more retries within a window than the limit, because the new processes
// spent their shares of the slack again.
func TestRetriesStayWithinTheLimitOverARestartOfAllHosts(t *testing.T) {
	for _, rounding := range []float64{0, maxRounding} {
		t.Run(fmt.Sprint(rounding), func(t *testing.T) { testRetriesOverARestart(t, rounding) })
	}
}

func testRetriesOverARestart(t *testing.T, rounding float64) {
	const hosts = 9
	start := time.Now()
	restart := start.Add(25 * time.Second)
	var taken []time.Time
	for range hosts {
		before, after := retry.NewBudget(limits, start, rounding), retry.NewBudget(limits, restart, rounding)
		for at := start; at.Before(restart.Add(limits.Window)); at = at.Add(time.Second) {
			b := before
			if !at.Before(restart) {
				b = after
			}
			b.RecordRequest("s", at)
			for b.TryRetry("s", 1.0/hosts, at) != nil {
				taken = append(taken, at)
			}
		}
	}
	allowed := limits.Ratio*hosts*limits.Window.Seconds() + limits.Slack
	maxRetries := 0
	for _, first := range taken {
		n := 0
		for _, at := range taken {
			if since := at.Sub(first); since >= 0 && since < limits.Window {
				n++
			}
		}
		maxRetries = max(maxRetries, n)
	}
	require.LessOrEqual(t, float64(maxRetries), allowed)
	require.Greater(t, float64(maxRetries), allowed/2)
}

func TestBudgetRecoversWithTheWindowForEachService(t *testing.T) {
	now := time.Now()
	b := retry.NewBudget(limits, now.Add(-limits.Window), 0)
	for b.TryRetry("a", 1.0/9, now) != nil {
	}
	require.NotNil(t, b.TryRetry("b", 1.0/9, now))
	require.Nil(t, b.TryRetry("a", 1.0/9, now.Add(5*time.Second)))
	require.NotNil(t, b.TryRetry("a", 1.0/9, now.Add(11*time.Second)))
	require.NotNil(t, b.TryRetry("a", 1.0/9, now.Add(time.Hour)), "after many windows without requests")
}

func TestHostUsesItsShareOfTheLimit(t *testing.T) {
	for _, c := range []struct {
		name     string
		requests int
		share    float64
		retries  int
	}{
		{"no requests: an equal share of the slack", 0, 1.0 / 9, 4}, // 0.75 x 58/9 = 4.8
		{"only host: the whole slack", 0, 1, 43},                    // 0.75 x 58 = 43.5
		{"hosts unknown: no slack", 0, 0, 0},
		{"hosts unknown: only the retries that requests allow", 100, 0, 15},  // 0.75 x 20
		{"each request adds the ratio", 100, 1.0 / 9, 19},                    // 0.75 x (20 + 58/9) = 19.8
		{"many hosts: a share of the slack below one retry", 0, 1.0 / 80, 0}, // 0.75 x 58/80 = 0.5
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			b := retry.NewBudget(limits, now.Add(-limits.Window), 0)
			for range c.requests {
				b.RecordRequest("s", now)
			}
			retries := 0
			for b.TryRetry("s", c.share, now) != nil {
				retries++
			}
			require.Equal(t, c.retries, retries)
		})
	}
}

// A new process gets its share of the slack only after a full window. By then the retries
// of the previous process are outside the window.
func TestStartingHostHasNoSlackForAWindow(t *testing.T) {
	now := time.Now()
	b := retry.NewBudget(limits, now, 0)
	require.Nil(t, b.TryRetry("s", 1.0/9, now))
	require.Nil(t, b.TryRetry("s", 1.0/9, now.Add(limits.Window-1)))
	require.NotNil(t, b.TryRetry("s", 1.0/9, now.Add(limits.Window)))
}

func TestReturnUndoesARetry(t *testing.T) {
	now := time.Now()
	b := retry.NewBudget(retry.Limits{Window: 10 * time.Second, Slack: 2}, now.Add(-10*time.Second), 0)
	g := b.TryRetry("a", 1.0, now)
	require.NotNil(t, g)
	require.Nil(t, b.TryRetry("a", 1.0, now))
	b.Return(g)
	require.NotNil(t, b.TryRetry("a", 1.0, now))
	require.Nil(t, b.TryRetry("a", 1.0, now))
}

func TestARetryThatIsReturnedLaterHidesNoneThatWasSent(t *testing.T) {
	now := time.Now()
	b := retry.NewBudget(retry.Limits{Window: 10 * time.Second, Slack: 4}, now.Add(-10*time.Second), 0)
	unsent := b.TryRetry("a", 1.0, now)
	sent := now.Add(1500 * time.Millisecond)
	require.NotNil(t, b.TryRetry("a", 1.0, sent))
	b.Return(unsent)
	later := now.Add(10500 * time.Millisecond) // within a window of the one that was sent
	require.NotNil(t, b.TryRetry("a", 1.0, later))
	require.NotNil(t, b.TryRetry("a", 1.0, later))
	require.Nil(t, b.TryRetry("a", 1.0, later), "0.75 x 4 retries were sent")
}

func TestARetryThatIsReturnedLaterCanBeTakenAgain(t *testing.T) {
	now := time.Now()
	b := retry.NewBudget(retry.Limits{Window: 10 * time.Second, Slack: 2}, now.Add(-10*time.Second), 0)
	unsent := b.TryRetry("a", 1.0, now)
	later := now.Add(1500 * time.Millisecond)
	b.Return(unsent)
	again := b.TryRetry("a", 1.0, later)
	require.NotNil(t, again)
	afterWindow := later.Add(time.Minute)
	b.Return(again)
	require.NotNil(t, b.TryRetry("a", 1.0, afterWindow))
	require.Nil(t, b.TryRetry("a", 1.0, afterWindow))
}

// retriesInWindow returns how many requests and retries the hosts send in a window in
// which each host attempts a retry for each of its requests. The number of requests
// differs between hosts: some have many, most have few.
func retriesInWindow(hosts, requests int, random *rand.Rand) (sent, retries int) {
	now := time.Now()
	for range hosts {
		b := retry.NewBudget(limits, now.Add(-limits.Window), random.Float64())
		own := int(random.ExpFloat64()*float64(requests)/float64(hosts) + random.Float64())
		for range own {
			b.RecordRequest("s", now)
		}
		sent += own
		for range own {
			if b.TryRetry("s", 1/float64(hosts), now) != nil {
				retries++
			}
		}
	}
	return sent, retries
}

// When many hosts had few requests each, no host was allowed a retry, although all hosts
// together were allowed hundreds.
func TestHostsWithFewRequestsEachUseTheLimitTogether(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, c := range []struct {
		hosts, requests int
		// minFraction is the fraction of the limit that must be used.
		minFraction float64
	}{
		{9, 80, 0.5},
		{67, 200, 0.5},
		{295, 1000, 0.5},
		{5900, 6000, 0.5},
		{5900, 80, 0}, // the hosts request no more retries
	} {
		t.Run(fmt.Sprint(c.hosts, " hosts, ", c.requests, " requests"), func(t *testing.T) {
			for range 20 {
				sent, retries := retriesInWindow(c.hosts, c.requests, random)
				limit := limits.Ratio*float64(sent) + limits.Slack
				require.LessOrEqual(t, float64(retries), limit)
				require.GreaterOrEqual(t, float64(retries), c.minFraction*limit)
			}
		})
	}
}

// The first requests to a host that had just started were not sent again when their
// upstream terminated, because the share that so few requests allow is less than one
// retry.
func TestFirstRequestsOfAHostMayBeRetried(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	const hosts, requests = 1000, 6
	now, retries := time.Now(), 0
	for range hosts {
		b := retry.NewBudget(limits, now, random.Float64())
		for range requests {
			b.RecordRequest("s", now)
		}
		for b.TryRetry("s", 1.0/hosts, now) != nil {
			retries++
		}
	}
	require.LessOrEqual(t, float64(retries), limits.Ratio*hosts*requests)
	require.GreaterOrEqual(t, float64(retries), limits.Ratio*hosts*requests/2)
}

// BenchmarkRecordRequest measures a request at a host that gets 1,000 a second.
func BenchmarkRecordRequest(b *testing.B) {
	now := time.Now()
	budget := retry.NewBudget(limits, now, 0)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		budget.RecordRequest("s", now)
	}
}

// BenchmarkTryRetryWhenAllCreditsAreUsed measures a retry that is denied at such a host.
func BenchmarkTryRetryWhenAllCreditsAreUsed(b *testing.B) {
	now := time.Now()
	budget := retry.NewBudget(limits, now, 0)
	for range 2000 {
		now = now.Add(time.Millisecond)
		budget.RecordRequest("s", now)
		budget.TryRetry("s", 0, now)
	}
	for b.Loop() {
		budget.TryRetry("s", 0, now)
	}
}
