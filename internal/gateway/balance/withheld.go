package balance

import (
	"time"

	"cairndock/internal/gateway/notice"
)

// Withheld says which upstreams a choice passed over, as they say that they take no
// request now. The zero value is none.
type Withheld struct {
	// Count is how many, as far as they were looked at, and Last one of them.
	Count int
	Last  notice.Withheld
	// For is how long it takes until the first of them takes one; zero if that is not known.
	For time.Duration
}

// add adds an upstream, and reports whether it is withheld.
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

// reason is why nothing was chosen from an empty list.
func (h *Withheld) reason() Reason {
	if h.Count > 0 {
		return Withholding
	}
	return NoUpstream
}
