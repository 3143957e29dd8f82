package watch

import (
	"time"

	"github.com/rotisserie/eris"
)

// Timing is the staleness bound S, the tightest of the settings' bounds on how
// soon a change must be in force. A host that reaches the store, directly or
// through a relay, keeps its replicas younger than S, as all waits of a watcher
// are parts of it. A relay may fail in three ways, each of which must be found
// with enough of S left to poll the store instead:
//
//	the relay goes silent         relayLongPollFraction + relaySlackFraction = 0.7 S
//	the relay's store goes silent its age, maxAgeFraction                = 0.7 S
//	the relay misses a change     a newer version in the heartbeats of other
//	                              hosts, behindFraction                  = 0.2 S
//
// TestNoHostThatReachesTheStoreIsStalerThanTheBound holds the sum. Relays that
// were trusted up to 3.5 s, with S at 2 s, had three requests handled by an old
// configuration (deploy/days/pair-down-nodes-evacuate.toml).
type Timing time.Duration

// The parts of S.
const (
	// longPollFraction is for the store's long poll. It is below maxAgeFraction, so
	// that a table without changes is confirmed before it counts as old.
	longPollFraction = 0.5
	// relayLongPollFraction is for a relay's long poll. A relay responds whenever
	// the store confirms its replica, each longPollFraction, so this is slightly
	// longer.
	relayLongPollFraction = 0.6
	// relaySlackFraction is for the way of a relay's response.
	relaySlackFraction = 0.1
	// maxAgeFraction is the age from which on a relay counts as failed.
	maxAgeFraction = 0.7
	// behindFraction is how long another host may have a change before the source
	// counts as failed that has not passed it on.
	behindFraction = 0.2
	// changeDelayFraction is for the pause after changes from the store, so that a
	// burst of them is one response: 1,325 to 837 requests to the store on a calm
	// day with 80 hosts.
	changeDelayFraction = 0.06
	// firstListDelayFraction is for the pause after the first listing of the
	// store, in which a starting host learns which host polls it. Together with
	// maxFallbackBackoff: 817 to 806 requests on a calm day with 80 hosts, 3,060 to
	// 2,750 on one of faults.
	firstListDelayFraction = 0.2
)

const (
	// initialSlack is how much longer than its long poll a response of the store
	// may take at first.
	initialSlack = 500 * time.Millisecond
	// maxSlack is what that doubles up to while responses are late, for a
	// store that is slow.
	maxSlack = 2 * time.Second
	// initialBackoff is the pause after a source's first failure.
	initialBackoff = 100 * time.Millisecond
	// maxBackoff is what that doubles up to.
	maxBackoff = 800 * time.Millisecond
	// maxFallbackBackoff is what it doubles up to for a fallback. It is below the
	// 3 s after the store's return from which on the platform holds a host to
	// its bounds again.
	maxFallbackBackoff = 2400 * time.Millisecond
)

func (t Timing) fraction(f float64) time.Duration { return time.Duration(f * float64(t)) }

// MaxAge is the age from which on a relay counts as failed.
func (t Timing) MaxAge() time.Duration { return t.fraction(maxAgeFraction) }

// timeouts returns how long a source may hold a poll, and how much longer its
// response may take; current is the source's slack after its late responses. A
// host that is behind does not let the source wait, as the change that it
// misses is there already, but gives even a relay that slack: the source may be
// slow or far away and still the only one.
func (t Timing) timeouts(relay, behind bool, current time.Duration) (longPoll, slack time.Duration) {
	switch {
	case behind:
		return 0, current
	case relay:
		return t.fraction(relayLongPollFraction), t.fraction(relaySlackFraction)
	default:
		return t.fraction(longPollFraction), current
	}
}

// delayAfter returns the pause between a response of the store and the next
// poll. Each poll has a price, and changes come in bursts.
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

// behind reports whether a host at a version has been behind for too long: the
// newest version that any other host has reported, since a time ago, is newer.
// Its source is then dead, or lags.
func (t Timing) behind(version, newest Version, since time.Duration) bool {
	return newest.Newer(version) && since > t.fraction(behindFraction)
}

// relayFault returns why a relay's response, to a host at a version, does not
// count as a success; nil if it does. Its rows are used in any case.
func (t Timing) relayFault(p Page, version Version, behind bool) error {
	if p.Age > t.MaxAge() {
		return eris.Errorf("relay is %s old", p.Age.Round(time.Millisecond))
	}
	if version.Newer(p.Version) {
		return eris.Errorf("relay is at version %s, %s is known", p.Version, version)
	}
	if behind {
		return eris.New("other hosts know newer changes")
	}
	return nil
}
