package loadmodel

import "time"

// shiftWindow is the window in which users compare the fraction of a region's requests that
// other regions serve.
const shiftWindow = 2 * time.Second

// shift counts the attempts of a region's hosts in a window, and those in other regions.
type shift struct{ attempts, away int }

func (s *shift) add(away bool) {
	s.attempts++
	if away {
		s.away++
	}
}

func (s *shift) fraction() float64 { return float64(s.away) / float64(max(1, s.attempts)) }

// shiftOf returns the counts of a region's window, given the time since the start of the run.
func (r *Result) shiftOf(region string, at time.Duration) *shift {
	if r.shifts[region] == nil {
		r.shifts[region] = map[int]*shift{}
	}
	window := int(at / shiftWindow)
	if r.shifts[region][window] == nil {
		r.shifts[region][window] = &shift{}
	}
	return r.shifts[region][window]
}

// LargestShift returns the largest fraction of a region's attempts that moved to or from other
// regions from one window to the next. The last window may have few attempts and does not
// count.
func (r *Result) LargestShift() float64 {
	largest := 0.0
	for _, windows := range r.shifts {
		for i := 1; i < len(windows)-1; i++ {
			if windows[i-1] != nil && windows[i] != nil {
				change := windows[i].fraction() - windows[i-1].fraction()
				largest = max(largest, change, -change)
			}
		}
	}
	return largest
}
