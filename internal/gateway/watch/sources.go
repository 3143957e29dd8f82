package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// NamedSource is a source of a table, with what a watcher must know of it.
type NamedSource struct {
	// Name is the source's name in the log.
	Name   string
	Source Source
	// Relay marks another host's replica, which may be old itself.
	Relay bool
	// Fallback marks the store if this host polls it only because its relay
	// fails. While the store is down every host does, so they retry less often
	// than the hosts whose first source it is.
	Fallback bool
	// ListAfter is for how long, at the most, this host waits for another source to
	// have a later era before it lists that of the store; zero is not at all.
	ListAfter time.Duration
}

// backoffLimit is the longest pause after a failure.
func (n NamedSource) backoffLimit() time.Duration {
	if n.Fallback {
		return maxFallbackBackoff
	}
	return maxBackoff
}

// SourceOrder returns the sources to poll, the best first.
type SourceOrder func() []NamedSource

// NewestKnown returns the newest version of the table that any other host is
// known to have, and for how long that has been known.
type NewestKnown func() (version Version, since time.Duration)

// sourceState is a source's recent history.
type sourceState struct {
	// backoff is the upper bound of the next pause after a failure.
	backoff time.Duration
	// slack is how much longer than its long poll a response may take.
	slack time.Duration
	// retryAt is when the source may be polled again.
	retryAt time.Time
	// failedSince is the first of the failures in a row; zero if the last
	// poll succeeded.
	failedSince time.Time
}

func newSourceState() *sourceState {
	return &sourceState{backoff: initialBackoff, slack: initialSlack}
}

// deferPoll has the source polled again within a time, later than half of it: hosts that put
// off a listing together do not list together.
func (s *sourceState) deferPoll(within time.Duration, now time.Time) {
	s.retryAt = now.Add(within/2 + rand.N(within/2+1))
}

// recordSuccess resets the waits. It returns when the failures began that have
// now ended; zero if there were none.
func (s *sourceState) recordSuccess() (failedSince time.Time) {
	failedSince = s.failedSince
	s.backoff, s.slack, s.failedSince = initialBackoff, initialSlack, time.Time{}
	return failedSince
}

// recordFailure sets the pause before the next poll: half of backoff and up to
// as much again at random, so that hosts do not poll in step. backoff doubles up
// to a limit, and after a timeout slack doubles too. It reports whether the
// source worked before.
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
