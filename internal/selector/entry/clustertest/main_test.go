package clustertest

import (
	"os"
	"runtime"
	"testing"
)

// TestMain keeps the tests on one processor. Time in a synctest bubble is
// then the same in every run, and the race detector's own state for a
// bubble's timers is not used from two threads at once, which crashed it
// (Go 1.26.8).
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
