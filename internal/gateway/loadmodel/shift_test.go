package loadmodel

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a shift that is hidden by the mean of a run or of all regions, and against
// one that is only the end of the load.
func TestLargestShiftIsBetweenWindowsOfOneRegion(t *testing.T) {
	r := newResult()
	send := func(region string, window, own, away int) {
		at := time.Duration(window) * shiftWindow
		for i := range own + away {
			r.shiftOf(region, at).add(i >= own)
		}
	}
	for window := range 3 {
		send("north", window, 10, 0)
	}
	send("south", 0, 8, 2)
	send("south", 1, 5, 5)
	send("south", 2, 6, 4)
	send("south", 3, 0, 1)
	require.InDelta(t, 0.3, r.LargestShift(), 1e-9)
}
