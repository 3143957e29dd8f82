package entry_test

import (
	"testing"

	"cairndock/internal/selector/entry/clustertest"
	"cairndock/internal/testmain"
)

func TestMain(m *testing.M) { testmain.OneProcessor(m) }

// cluster is a system under test, with what these tests do to it.
type cluster struct{ *clustertest.Cluster }

// inBubble runs a test on a cluster whose time is fake.
func inBubble(t *testing.T, rules string, f func(c *cluster)) {
	clustertest.Run(t, rules, func(c *clustertest.Cluster) { f(&cluster{c}) })
}
