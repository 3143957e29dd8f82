package entry_test

import (
	"testing"

	"cairndock/internal/selector/entry/clustertest"
	"cairndock/internal/testmain"
)

func TestMain(m *testing.M) { testmain.OneProcessor(m) }

// cluster extends a Cluster with helpers for the tests of this package.
type cluster struct{ *clustertest.Cluster }

// inBubble runs a test with a cluster in a bubble of fake time.
func inBubble(t *testing.T, rules string, f func(c *cluster)) {
	clustertest.Run(t, rules, func(c *clustertest.Cluster) { f(&cluster{c}) })
}
