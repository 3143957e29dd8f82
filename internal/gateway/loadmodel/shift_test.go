package loadmodel

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/upstream"
)

// Guards against a shift that is hidden by the mean of a run or of all regions, and against
// one that is only the end of the load.
func TestLargestShiftIsBetweenWindowsOfOneRegion(t *testing.T) {
	r := newResult()
	send := func(region string, window, own, away int) {
		from := &zoneState{Zone: Zone{Name: region, Region: region}}
		at := time.Duration(window) * shiftWindow
		for range own {
			r.sent(from, &upstream.Upstream{Registration: upstream.Registration{Zone: region, Region: region}}, at)
		}
		for range away {
			r.sent(from, &upstream.Upstream{Registration: upstream.Registration{Zone: "far", Region: "far"}}, at)
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
