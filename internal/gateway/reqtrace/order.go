package reqtrace

import (
	"cmp"
	"math"

	"cairndock/internal/gateway/eventlog"
	"cairndock/internal/gateway/logline"
)

// byTime orders lines by time; of the same time, attempts by their number and
// the final response last.
func byTime(a, b logline.Line) int {
	return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(step(a), step(b)))
}

// step is the line's place among those of its request on one host.
func step(l logline.Line) int {
	if l.Event == eventlog.EventFinal {
		return math.MaxInt
	}
	return l.Attempt
}
