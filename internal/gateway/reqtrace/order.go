package reqtrace

import (
	"cmp"
	"math"

	"cairndock/internal/gateway/eventlog"
	"cairndock/internal/gateway/logline"
)

// byTime compares lines by time. Lines of the same time are ordered by the number of the
// attempt, with the final response last.
func byTime(a, b logline.Line) int {
	return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(step(a), step(b)))
}

// step returns the position of a line among the lines of its request on one host.
func step(l logline.Line) int {
	if l.Event == eventlog.EventFinal {
		return math.MaxInt
	}
	return l.Attempt
}
