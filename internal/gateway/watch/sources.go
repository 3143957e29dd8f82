package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// NamedSource is a source of a table, with the properties that a watcher needs.
type NamedSource struct {
	// Name identifies the source in the log.
	Name   string
	Source Source
	// Relay marks another host's replica, which may itself be stale.
	Relay bool
	// Fallback marks the store of a host that polls the store only when its relay fails.
	// While the store is down this applies to every host, so fallbacks retry less often
	// than the hosts that poll the store first.
	Fallback bool
	// ListAfter is the maximum time that this host waits for another source to reach a
	// later era before it lists the store's table of that era. Zero means that it lists
	// at once.
	ListAfter time.Duration
	// Superseded is closed once a better source may be polled. It ends a long poll of this
	// source, which does not count as a failure. Nil means never.
	Superseded <-chan struct{}
}

// backoffLimit returns the maximum delay after a failure.
func (n NamedSource) backoffLimit() time.Duration {
	if n.Fallback {
		return maxFallbackBackoff
	}
	return maxBackoff
}

// SourceOrder returns the sources to poll, the best first.
type SourceOrder func() []NamedSource

// NewestKnown returns the newest version of the table that any other host is known to
// have, and how long ago this host learned of it.
type NewestKnown func() (version Version, since time.Duration)

// sourceState is a source's recent history.
type sourceState struct {
	// backoff is the upper bound of the next delay after a failure.
	backoff time.Duration
	// slack is how much longer than its long poll a response may take.
	slack time.Duration
	// retryAt is when the source may be polled again.
	retryAt time.Time
	// failedSince is the time of the first of the consecutive failures; zero if the last
	// poll succeeded.
	failedSince time.Time
	// polling is set during a poll of the source.
	polling bool
}

func newSourceState() *sourceState {
	return &sourceState{backoff: initialBackoff, slack: initialSlack}
}

// deferPoll schedules the next poll of the source at a random time in the second half of
// the given period, so that hosts which defer a listing together do not list together.
func (s *sourceState) deferPoll(within time.Duration, now time.Time) {
	s.retryAt = now.Add(within/2 + rand.N(within/2+1))
}

// recordSuccess resets the backoff and the slack. It returns the time of the first of
// the failures that have now ended; zero if there were none.
func (s *sourceState) recordSuccess() (failedSince time.Time) {
	failedSince = s.failedSince
	s.backoff, s.slack, s.failedSince = initialBackoff, initialSlack, time.Time{}
	return failedSince
}

// recordFailure sets the delay before the next poll: half of backoff plus up to the same
// amount at random, so that hosts do not poll in step. It then doubles backoff up to a
// limit, and after a timeout also slack. It reports whether this is the first failure
// since the last success.
func (s *sourceState) recordFailure(err error, limit time.Duration, now time.Time) (lost bool) {
	if errors.Is(err, context.DeadlineExceeded) {
		s.slack = min(2*s.slack, maxSlack)
	}
	s.retryAt = now.Add(s.backoff/2 + rand.N(s.backoff/2+1))
	s.backoff = min(2*s.backoff, limit)
	if !s.failedSince.IsZero() {
		return false
	}
	s.failedSince = now
	return true
}
