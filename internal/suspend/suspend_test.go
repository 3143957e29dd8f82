package suspend_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/suspend"
	"cairndock/internal/suspend/suspendtest"
)

func TestEachSuspensionIsToldOnce(t *testing.T) {
	clock := &suspendtest.Clock{}
	clock.Suspend(time.Hour) // before the watch is created
	w := suspend.NewWatch(clock)
	var gaps []time.Duration
	w.OnGap(func(gap time.Duration) { gaps = append(gaps, gap) })
	w.Check()
	require.Empty(t, gaps)
	clock.Suspend(3 * time.Second)
	w.Check()
	w.Check()
	clock.Suspend(30 * time.Second)
	w.Check()
	require.Equal(t, []time.Duration{3 * time.Second, 30 * time.Second}, gaps)
	require.Equal(t, 33*time.Second, w.Total())
	clock.Suspend(-time.Millisecond) // a reading that is too low
	w.Check()
	clock.Suspend(2 * time.Millisecond)
	w.Check()
	require.Len(t, gaps, 2)
}

func TestAMachineThatWasNotSuspended(t *testing.T) {
	w := suspend.NewWatch(suspend.Machine{})
	w.OnGap(func(gap time.Duration) { t.Errorf("suspended for %s", gap) })
	for end := time.Now().Add(100 * time.Millisecond); time.Now().Before(end); {
		w.Check()
	}
	require.Zero(t, w.Total())
}

func BenchmarkCheck(b *testing.B) {
	w := suspend.NewWatch(suspend.Machine{})
	for b.Loop() {
		w.Check()
	}
}
