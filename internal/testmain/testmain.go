// Package testmain provides TestMain bodies that the tests of several packages
// share. Only tests import it.
package testmain

import (
	"flag"
	"os"
	"runtime"
	"testing"
)

// rapidSeed is the seed of all property tests. Its value is arbitrary.
const rapidSeed = "20261202"

// FixedSeed runs the property tests of a package with a fixed seed, so that
// every run has the same result. The package must import pgregory.net/rapid.
func FixedSeed(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", rapidSeed); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// OneProcessor runs the tests of a package on one processor. Time in a synctest
// bubble is then the same in every run. It also avoids a crash of the race
// detector in Go 1.26.8, which occurs when two threads use its state for the
// timers of a bubble concurrently.
func OneProcessor(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
