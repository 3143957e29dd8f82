package watch

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests on one processor: Go 1.26.8's race detector crashes
// on bubbles of fake time with several threads.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
