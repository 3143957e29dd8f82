package shift

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, for the same verdict in
// every run.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
