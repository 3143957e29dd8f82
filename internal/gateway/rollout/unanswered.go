package rollout

import (
	"slices"
	"time"
)

const (
	// pathCheckTime is the time within which a host notices that it has lost its path to all
	// upstreams: a check may have to wait for the one before it, and connects to two samples
	// of the upstreams (package reach).
	pathCheckTime = 1200 * time.Millisecond
	// maxUnanswered bounds the attempts that wait. Further ones count at once, because a host
	// that gets so many failures in that time reaches some upstreams.
	maxUnanswered = 1024
)

// unanswered is an attempt that failed without a response.
type unanswered struct {
	attempt *Attempt
	endedAt time.Time
}

// addUnanswered adds an attempt that ended without a response; o.mu is held.
func (o *observer) addUnanswered(a *Attempt, now time.Time) {
	if len(o.unanswered) >= maxUnanswered {
		o.count(a, Failed, now.Sub(a.sentAt))
		return
	}
	o.unanswered = append(o.unanswered, unanswered{a, now})
}

// resolveUnanswered counts the attempts that failed while this host had a path to upstreams, and
// drops those that failed while it had none; o.mu is held. A response to a later request proves
// that there is a path.
func (o *observer) resolveUnanswered(now time.Time) {
	o.unanswered = slices.DeleteFunc(o.unanswered, func(u unanswered) bool {
		switch {
		case o.lost(u.attempt.sentAt):
			return true
		case o.provenAt.After(u.endedAt), now.Sub(u.endedAt) >= pathCheckTime:
			o.count(u.attempt, Failed, u.endedAt.Sub(u.attempt.sentAt))
			return true
		}
		return false
	})
}

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
