package payload

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestTheMeanIsUnknownUntilThereAreEnoughSamples(t *testing.T) {
	var s Sizes
	for range minSamples - 1 {
		s.Record("a", 9000)
	}
	require.Zero(t, s.Mean("a"))
	s.Record("a", 9000)
	require.InDelta(t, 9000, s.Mean("a"), 0.001)
	require.Zero(t, s.Mean("b"))
}

// Guards against a mean that follows single responses: the upstreams of a key would change
// with each large response.
func TestTheMeanOfVaryingSizesStaysOnItsSideOfAThreshold(t *testing.T) {
	var s Sizes
	random := rand.New(rand.NewPCG(1, 1))
	size := func() int64 { return int64(6200 * max(0.1, 1+0.6*random.NormFloat64())) }
	for range 1000 {
		s.Record("a", size())
	}
	for range 100_000 {
		s.Record("a", size())
		require.Less(t, s.Mean("a"), 8192.0)
	}
}

func TestTheMeanFollowsALastingChange(t *testing.T) {
	var s Sizes
	for range 1000 {
		s.Record("a", 1000)
	}
	for range 2000 {
		s.Record("a", 20_000)
	}
	require.Greater(t, s.Mean("a"), 15_000.0)
}

// Guards against memory that grows with each configuration that renames its routes.
func TestTheNumberOfRoutesIsBounded(t *testing.T) {
	var s Sizes
	for i := range 3 * maxRoutes {
		s.Record(strconv.Itoa(i), 1)
	}
	require.LessOrEqual(t, len(s.routes), maxRoutes)
}
