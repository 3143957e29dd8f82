// Package testmain has the TestMain bodies that several packages' tests share.
// Only tests import it.
package testmain

import (
	"flag"
	"os"
	"runtime"
	"testing"
)

// rapidSeed is the seed of all property tests, chosen by its date.
const rapidSeed = "20261202"

// FixedSeed runs a package's property tests with one seed, so that every run
// has the same verdict. The package must import pgregory.net/rapid.
func FixedSeed(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", rapidSeed); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// OneProcessor runs a package's tests on one processor. Time in a synctest
// bubble is then the same in every run, and the race detector's state for a
// bubble's timers is not used from two threads at once, which crashed it
// (Go 1.26.8).
func OneProcessor(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
