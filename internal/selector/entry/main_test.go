package entry_test

import (
	"os"
	"runtime"
	"testing"

	"cairndock/internal/selector/entry/clustertest"
)

// TestMain keeps the tests on one processor. Time in a synctest bubble is
// then the same in every run, and the race detector's own state for a
// bubble's timers is not used from two threads at once, which crashed it
// (Go 1.26.8).
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}

// cluster is a system under test, with what these tests do to it.
type cluster struct{ *clustertest.Cluster }

// inBubble runs a test on a cluster whose time is fake.
func inBubble(t *testing.T, rules string, f func(c *cluster)) {
	clustertest.Run(t, rules, func(c *clustertest.Cluster) { f(&cluster{c}) })
}
