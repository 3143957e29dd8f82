package watch

import (
	"errors"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestAChangeIsAppliedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("a", "1")
		r, _ := startWatcher(t, noneNewer, NamedSource{Name: "store", Source: s})
		synctest.Wait()
		require.Equal(t, "1", r.value("a"))
		time.Sleep(timing.fraction(firstListDelayFraction))
		s.put("a", "2")
		s.put("b", "3")
		s.remove("a")
		synctest.Wait()
		require.Equal(t, "", r.value("a"))
		require.Equal(t, "3", r.value("b"))
		time.Sleep(20 * time.Second)
		require.LessOrEqual(t, s.requests(), 24, "a table without changes takes one request per long poll")
	})
}

func TestAStoreThatIsDownIsPolledSparinglyAndFoundAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		r, _ := startWatcher(t, noneNewer, NamedSource{Name: "store", Source: s})
		synctest.Wait()
		s.set(func(s *fakeStore) { s.down, s.calls = errors.New("503"), 0 })
		time.Sleep(10 * time.Second)
		s.set(func(s *fakeStore) { s.down = nil })
		require.Less(t, s.requests(), 25)
		require.Equal(t, []string{"store"}, r.lostNames(), "reported once")
		s.put("a", "1")
		time.Sleep(maxBackoff)
		require.Equal(t, "1", r.value("a"))
		require.Equal(t, []string{"store"}, r.regainedNames())
	})
}

func TestASilentConnectionDelaysAChangeByOneLongPollAtMost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		r, _ := startWatcher(t, noneNewer, NamedSource{Name: "store", Source: s})
		synctest.Wait()
		s.set(func(s *fakeStore) { s.silent = true })
		time.Sleep(timing.fraction(longPollFraction) + time.Millisecond) // the next poll gets no response
		s.set(func(s *fakeStore) { s.silent = false })
		s.put("a", "1")
		time.Sleep(timing.fraction(longPollFraction) + initialSlack + initialBackoff)
		require.Equal(t, "1", r.value("a"))
	})
}

func TestATableIsListedWhenItsHistoryIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("a", "1")
		s.put("b", "1")
		r, _ := startWatcher(t, noneNewer, NamedSource{Name: "store", Source: s})
		synctest.Wait()
		time.Sleep(timing.fraction(firstListDelayFraction))
		s.set(func(s *fakeStore) { s.silent = true })
		time.Sleep(timing.fraction(longPollFraction) + time.Millisecond)
		s.set(func(s *fakeStore) { s.silent, s.historyGone = false, true })
		s.remove("a")
		s.put("b", "2")
		time.Sleep(timing.fraction(longPollFraction) + initialSlack + time.Second)
		require.Equal(t, "", r.value("a"), "a row that is not listed is removed")
		require.Equal(t, "2", r.value("b"))
		require.Less(t, s.listings(), 10, "a store that lags is not listed repeatedly")
	})
}

func TestAReadingThatLagsNeverTakesKnowledgeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("a", "old")
		stale, _ := s.replica.List(t.Context())
		s.put("a", "new")
		r, _ := startWatcher(t, noneNewer, NamedSource{Name: "store", Source: s})
		synctest.Wait()
		s.set(func(s *fakeStore) { s.stale, s.historyGone = &stale, true })
		s.put("x", "wakes the watcher")
		time.Sleep(5 * time.Second)
		require.Equal(t, "new", r.value("a"))
		s.set(func(s *fakeStore) { s.stale, s.historyGone = nil, false })
		time.Sleep(2 * time.Second)
		require.Equal(t, "new", r.value("a"))
	})
}

func TestABurstOfChangesCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		r, _ := startWatcher(t, noneNewer, NamedSource{Name: "store", Source: s})
		synctest.Wait()
		s.set(func(s *fakeStore) { s.calls = 0 })
		for i := range 50 {
			s.put("a", strconv.Itoa(i))
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(timing.fraction(changeDelayFraction))
		require.Equal(t, "49", r.value("a"))
		require.LessOrEqual(t, s.requests(), 6)
	})
}

// While the store is down every host finds its relay stale. The hosts that poll the
// store only as a fallback must not make its requests grow with the number of hosts, and
// must still reach the store soon after it is available again.
func TestAFallbackAsksTheStoreLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, old := newFakeStore(), newFakeStore()
		r, _ := startWatcher(t, noneNewer, NamedSource{Name: "relay", Source: old, Relay: true}, NamedSource{Name: "store", Source: s, Fallback: true})
		time.Sleep(timing.fraction(firstListDelayFraction))
		old.set(func(s *fakeStore) { s.down = errors.New("old") })
		s.set(func(s *fakeStore) { s.down, s.calls = errors.New("503"), 0 })
		time.Sleep(20 * time.Second)
		require.LessOrEqual(t, s.requests(), 16)
		s.set(func(s *fakeStore) { s.down = nil })
		s.put("a", "1")
		time.Sleep(maxFallbackBackoff)
		require.Equal(t, "1", r.value("a"))
	})
}

// The store may drop its history between the first listing and the first poll for
// changes.
func TestAGapRightAfterTheFirstReadingIsFilledToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("a", "1")
		r, _ := startWatcher(t, noneNewer, NamedSource{Name: "store", Source: s})
		synctest.Wait()
		s.set(func(s *fakeStore) { s.historyGone = true })
		s.remove("a")
		s.put("b", "2")
		time.Sleep(2 * time.Second)
		s.set(func(s *fakeStore) { s.historyGone = false })
		require.Equal(t, "", r.value("a"))
		require.Equal(t, "2", r.value("b"))
		require.Less(t, s.listings(), 5)
	})
}

// Hosts that start together poll relays that have no rows yet. If this counts as a
// failure, they log it (254 log lines at a start of 295 hosts) and poll the store.
func TestARelayThatHasNoRowsYetIsPolledAgainSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relay := NewReplica()
		r, _ := startWatcher(t, noneNewer, NamedSource{Name: "relay", Source: relay, Relay: true})
		time.Sleep(time.Second)
		relay.replace(Page{Version: at(5), Rows: []Row{{Key: "a", Value: []byte("1"), Version: 5}}}, time.Now())
		time.Sleep(startingRelayDelay + noSourceDelay)
		require.Equal(t, "1", r.value("a"))
		require.Empty(t, r.lostNames())
	})
}

// A host that may poll the store again does not wait for a relay, which may wait for it.
func TestALongPollOfARelayEndsOnceABetterSourceMayBePolled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		_, relayReplica := startWatcher(t, noneNewer, NamedSource{Name: "store", Source: s})
		synctest.Wait() // until the relay has listed the table
		s.set(func(f *fakeStore) { f.silent = true })
		better, superseded := newFakeStore(), make(chan struct{})
		r, _ := startWatcherInOrder(t, noneNewer, func() []NamedSource {
			select {
			case <-superseded:
				return []NamedSource{{Name: "store", Source: better}}
			default:
				return []NamedSource{{Name: "relay", Source: relayReplica, Relay: true, Superseded: superseded}}
			}
		})
		synctest.Wait()
		better.put("a", "1")
		close(superseded)
		time.Sleep(time.Millisecond)
		require.Equal(t, "1", r.value("a"))
		require.Empty(t, r.lostNames(), "the relay did not fail")
	})
}
