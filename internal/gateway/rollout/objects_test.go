package rollout

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against first loads of objects that count as slow responses of a version, and against
// repeated requests that do not.
func TestTheThresholdDependsOnWhetherTheObjectWasRequestedBefore(t *testing.T) {
	list := versions(map[string]int{"v2": 2})
	slow := thresholds{
		Any:      map[string]time.Duration{"r": 350 * time.Millisecond},
		Repeated: map[string]time.Duration{"r": 300 * time.Millisecond},
		First:    map[string]time.Duration{"r": 500 * time.Millisecond},
	}
	o := newObserver(testOrder)
	o.setSlow(slow)
	send := func(upstream int, object string) time.Duration {
		a := o.start("r", list[upstream], true, time.Now())
		if object != "" {
			a.SetObject(object)
		}
		return o.threshold(a)
	}
	require.Equal(t, 500*time.Millisecond, send(0, "x"), "the first request")
	require.Equal(t, 300*time.Millisecond, send(0, "x"), "a repeated request")
	require.Equal(t, 500*time.Millisecond, send(1, "x"), "the first request at another upstream")
	require.Equal(t, 350*time.Millisecond, send(0, ""), "a request without an object")
	o.setSlow(thresholds{Any: slow.Any})
	require.Equal(t, 350*time.Millisecond, send(0, "x"), "a decision by a host of an earlier version")
}

// Guards against memory that grows with the objects for as long as a roll-out takes.
func TestTheObjectsThatAHostRemembersAreBounded(t *testing.T) {
	s := objects{}
	for i := range maxObjects + 10 {
		require.Equal(t, possiblyFirst, s.add(strconv.Itoa(i), "u"))
	}
	require.Len(t, s, maxObjects)
	require.Equal(t, possiblyFirst, s.add(strconv.Itoa(maxObjects+1), "u"))
	require.Equal(t, repeated, s.add("1", "u"))
}
