package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Each attempt is counted while a roll-out runs. What that takes must not grow with what was
// counted before.
func TestTheCostOfAnAttemptDoesNotGrowWithTheEvidence(t *testing.T) {
	o, u, now := newObserver(testOrder), versions(map[string]int{"v2": 1})[0], time.Now()
	for _, buckets := range []int{10, 100} {
		for bucket := range buckets {
			o.start("r", u, true, now).End(Answered, now.Add(middle(bucket)))
		}
		allocations := testing.AllocsPerRun(50, func() { o.start("r", u, true, now).End(Answered, now.Add(time.Second)) })
		require.LessOrEqual(t, allocations, 4.0, "%d buckets", buckets)
	}
}
