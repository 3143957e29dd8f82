package watch

import (
	"time"

	"github.com/rotisserie/eris"
)

// Timing is the staleness bound S, the tightest of the configured bounds on how soon a
// change must apply. A host that reaches the store, directly or through a relay, keeps
// its replicas younger than S, less a twentieth of it for a request that is sent because of a
// replica to reach its upstream. All waits of a watcher are therefore fractions of S. A
// relay may fail in three ways, and each must be detected early enough to poll the store
// within the rest of S:
//
//	the relay goes silent            the replica's age, overdueFraction         = 0.6 S
//	the relay's store goes silent    the relay's age, maxAgeFraction            = 0.7 S
//	the relay misses a change        a newer version in the heartbeats of other
//	                                 hosts, behindFraction                      = 0.2 S
//
// Any other source may be silent at the same time. While a replica is overdue, one more source is
// therefore polled every backupIntervalFraction, without waiting for those polled before.
//
// TestNoHostThatReachesTheStoreIsStalerThanTheBound and
// TestAHostWhoseOpenConnectionsGoSilentIsNotStalerThanTheBound check the total. When relays were
// trusted up to an age of 3.5 s with S at 2 s, three requests were handled by an
// outdated configuration (deploy/days/pair-down-nodes-evacuate.toml).
type Timing time.Duration

// Fractions of S.
const (
	// longPollFraction is the duration of a long poll of the store. It is below
	// maxAgeFraction, so that a table without changes is confirmed before its replica is
	// considered stale.
	longPollFraction = 0.48
	// relayLongPollFraction is the duration of a long poll of a relay. A relay responds
	// whenever the store confirms its replica, at most longPollFraction apart, so this
	// fraction is slightly larger.
	relayLongPollFraction = 0.55
	// relaySlackFraction is the transfer time allowed for a relay's response.
	relaySlackFraction = 0.1
	// maxAgeFraction is the maximum age of a relay; an older one is considered failed.
	maxAgeFraction = 0.7
	// overdueFraction is the age of a replica from which on further sources are polled. It
	// exceeds the time between two confirmations of a relay whose relays and store respond.
	overdueFraction = 0.6
	// backupIntervalFraction is the time between two such polls.
	backupIntervalFraction = 0.03
	// behindFraction is how long another host may have a change before a source that has
	// not passed on the change is considered failed.
	behindFraction = 0.2
	// changeDelayFraction is the delay after changes from the store, which merges a
	// burst of changes into one response. It reduced the requests to the store on a calm
	// day with 80 hosts from 1,325 to 837.
	changeDelayFraction = 0.06
	// firstListDelayFraction is the delay after the first listing of the store, during
	// which a starting host learns which host polls it. Together with maxFallbackBackoff
	// it reduced the requests to the store with 80 hosts from 817 to 806 on a calm day
	// and from 3,060 to 2,750 on a day with faults.
	firstListDelayFraction = 0.2
)

const (
	// initialSlack is how much longer than its long poll a response of the store may
	// take at first.
	initialSlack = 500 * time.Millisecond
	// maxSlack is the upper bound of the slack, which doubles after each late response
	// to allow for a slow store.
	maxSlack = 2 * time.Second
	// initialBackoff is the maximum delay after a source's first failure.
	initialBackoff = 100 * time.Millisecond
	// maxBackoff is the upper bound of the backoff, which doubles after each failure.
	maxBackoff = 800 * time.Millisecond
	// maxFallbackBackoff is maxBackoff for a fallback. It is below 3 s, the time after
	// the store's recovery from which the platform holds a host to its bounds again.
	maxFallbackBackoff = 2400 * time.Millisecond
)

func (t Timing) fraction(f float64) time.Duration { return time.Duration(f * float64(t)) }

// MaxAge returns the maximum age of a relay; an older one is considered failed.
func (t Timing) MaxAge() time.Duration { return t.fraction(maxAgeFraction) }

// timeouts returns how long a source may hold a poll, and how much longer its response
// may take; current is the source's slack after its late responses. A poll is urgent if
// the host is behind, because the change that it misses already exists, or overdue,
// because it needs a confirmation. An urgent poll is no long poll. It then
// grants the current slack even to a relay, because the source may be slow or far away
// and still be the only one available.
func (t Timing) timeouts(relay, urgent bool, current time.Duration) (longPoll, slack time.Duration) {
	switch {
	case urgent:
		return 0, current
	case relay:
		return t.fraction(relayLongPollFraction), t.fraction(relaySlackFraction)
	default:
		return t.fraction(longPollFraction), current
	}
}

// delayAfter returns the delay between a response of the store and the next poll. Each
// poll has a cost, and changes come in bursts.
func (t Timing) delayAfter(r pollResult) time.Duration {
	switch r {
	case firstList:
		return t.fraction(firstListDelayFraction)
	case changed:
		return t.fraction(changeDelayFraction)
	default:
		return 0
	}
}

// behind reports whether a host at a version has been behind for too long: any other
// host reported the newest version, which is newer than the host's, longer than
// behindFraction ago. The host's source is then dead or lags.
func (t Timing) behind(version, newest Version, since time.Duration) bool {
	return newest.Newer(version) && since > t.fraction(behindFraction)
}

// relayFault returns why a relay's response to a host at a version counts as a failure,
// or nil if it does not. The rows of the response are applied in any case.
func (t Timing) relayFault(p Page, version Version, behind bool) error {
	if p.Age > t.MaxAge() {
		return eris.Errorf("relay is %s old", p.Age.Round(time.Millisecond))
	}
	if version.Newer(p.Version) {
		return eris.Errorf("relay is at version %s, older than the known version %s", p.Version, version)
	}
	if behind {
		return errBehind
	}
	return nil
}
