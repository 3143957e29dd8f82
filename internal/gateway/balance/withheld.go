package balance

import (
	"time"

	"cairndock/internal/gateway/notice"
)

// Withheld describes the upstreams that a choice skipped because their notices say that
// they accept no request now. The zero value means none.
type Withheld struct {
	// Count is the number of skipped upstreams among those examined, and Last is one of
	// them.
	Count int
	Last  notice.Withheld
	// For is the time until the first of them accepts a request again; zero if unknown.
	For time.Duration
}

// add records w if its upstream is withheld, and reports whether it is.
func (h *Withheld) add(w notice.Withheld) bool {
	if w.Upstream == "" {
		return false
	}
	h.Count++
	h.Last = w
	if w.For > 0 && (h.For == 0 || w.For < h.For) {
		h.For = w.For
	}
	return true
}

// reason returns why nothing was chosen from an empty list.
func (h *Withheld) reason() Reason {
	if h.Count > 0 {
		return AllWithheld
	}
	return NoUpstream
}
