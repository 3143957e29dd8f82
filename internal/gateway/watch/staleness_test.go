package watch

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestARelayCarriesOnWhenTheStoreIsOutOfReach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("a", "1")
		cut := &fakeStore{down: errors.New("unreachable")}
		peer, peerReplica := startWatcher(t, noneNewer, NamedSource{Name: "store", Source: s})
		synctest.Wait()
		require.Equal(t, "1", peer.value("a"))
		r, _ := startWatcher(t, noneNewer, NamedSource{Name: "store", Source: cut}, NamedSource{Name: "peer", Source: peerReplica, Relay: true})
		time.Sleep(time.Second)
		require.Equal(t, "1", r.value("a"))
		s.put("a", "2")
		synctest.Wait()
		require.Equal(t, "2", r.value("a"), "a host that can't reach the store gets a change from its peer at once")
	})
}

func TestAnOldRelayIsNotTrustedAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		old := NewReplica()
		old.replace(Page{Version: at(1), Age: time.Minute}, time.Now())
		r, _ := startWatcher(t, noneNewer, NamedSource{Name: "peer", Source: old, Relay: true}, NamedSource{Name: "store", Source: s})
		s.put("a", "1")
		time.Sleep(2 * time.Second)
		require.Equal(t, "1", r.value("a"))
		require.Contains(t, r.lostNames(), "peer")
	})
}

// startBehindDeadRelay starts a watcher whose relay is cut off from its store, and
// returns after one second. From then on other hosts report version 2.
func startBehindDeadRelay(t *testing.T) (*fakeStore, *recordingSink) {
	t.Helper()
	s := newFakeStore()
	dead := NewReplica()
	dead.replace(Page{Version: at(1)}, time.Now())
	began := time.Now()
	newest := func() (Version, time.Duration) {
		if time.Since(began) < time.Second {
			return Version{}, 0
		}
		return at(2), time.Since(began) - time.Second
	}
	r, _ := startWatcher(t, newest, NamedSource{Name: "peer", Source: dead, Relay: true}, NamedSource{Name: "store", Source: s})
	time.Sleep(time.Second)
	return s, r
}

// A relay whose own source is dead responds in time without changes. Only the heartbeats
// of other hosts show that there are changes.
func TestAHostThatIsBehindOthersAsksElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := startBehindDeadRelay(t)
		s.put("a", "1")
		time.Sleep(timing.fraction(behindFraction) + 300*time.Millisecond)
		require.Equal(t, "1", r.value("a"))
	})
}

// A source that takes longer to respond than behindCheckInterval, such as a store that
// is slow or far away, is still used.
func TestAHostThatIsBehindHearsAStoreThatIsSlow(t *testing.T) {
	const slow = 400 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		s, r := startBehindDeadRelay(t)
		s.put("a", "1")
		s.set(func(f *fakeStore) { f.slow = slow })
		time.Sleep(timing.fraction(behindFraction) + 300*time.Millisecond + slow)
		require.Equal(t, "1", r.value("a"))
	})
}

// The relay either responds in time while its own connection to the store is silent, or
// goes silent itself. This host can reach the store throughout.
func TestNoHostThatReachesTheStoreIsStalerThanTheBound(t *testing.T) {
	for name, relaySilent := range map[string]bool{"the relay's store": false, "the relay": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				relayStore := &fakeStore{replica: s.replica}
				_, relayReplica := startWatcher(t, noneNewer, NamedSource{Name: "store", Source: relayStore})
				link := &fakeStore{replica: relayReplica}
				r, _ := startWatcher(t, noneNewer, NamedSource{Name: "relay", Source: relaySource{link, relayReplica}, Relay: true}, NamedSource{Name: "store", Source: s})
				time.Sleep(10 * time.Second)
				relayStore.set(func(f *fakeStore) { f.silent = true })
				link.set(func(f *fakeStore) { f.silent = relaySilent })
				time.Sleep(timing.fraction(longPollFraction)) // a poll in flight may still get a response
				s.put("a", "1")
				time.Sleep(staleness - 100*time.Millisecond)
				require.Equal(t, "1", r.value("a"))
			})
		})
	}
}

// sendFraction is the fraction of S that remains for a request to reach its upstream.
const sendFraction = 0.05

// Open connections that were dropped without a reset stay silent, and new ones work.
func TestAHostWhoseOpenConnectionsGoSilentIsNotStalerThanTheBound(t *testing.T) {
	for offset := time.Duration(0); offset < staleness; offset += staleness / 10 {
		synctest.Test(t, func(t *testing.T) {
			s := newFakeStore()
			_, relayReplica := startWatcher(t, noneNewer, NamedSource{Name: "store", Source: s})
			relay := &connection{Source: relaySource{&fakeStore{}, relayReplica}, down: make(chan struct{})}
			store := &connection{Source: s, down: make(chan struct{}), redials: true}
			r, _ := startWatcher(t, noneNewer, NamedSource{Name: "relay", Source: relay, Relay: true}, NamedSource{Name: "store", Source: store})
			time.Sleep(10*time.Second + offset)
			relay.drop()
			store.drop()
			s.put("a", "1")
			time.Sleep(staleness - timing.fraction(sendFraction))
			require.Equal(t, "1", r.value("a"), "silent from %s on", offset)
		})
	}
}

// connection is a source behind a connection that can become silent.
type connection struct {
	Source
	// redials makes the call after one that timed out use a new connection.
	redials bool

	mu sync.Mutex
	// down is closed once the connection is silent.
	down chan struct{}
}

func (c *connection) drop() { close(c.down) }

func (c *connection) isDown() bool {
	select {
	case <-c.down:
		return true
	default:
		return false
	}
}

func (c *connection) Changes(ctx context.Context, after Version, wait time.Duration) (Page, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	page, err := c.Source.Changes(ctx, after, wait)
	if !c.isDown() {
		return page, err
	}
	<-ctx.Done()
	if c.redials {
		c.down = make(chan struct{})
	}
	return Page{}, ctx.Err()
}

// relaySource is another host's replica behind a link that can fail.
type relaySource struct {
	link    *fakeStore
	replica *Replica
}

func (r relaySource) List(ctx context.Context) (Page, error) {
	if err := r.link.enter(ctx); err != nil {
		return Page{}, err
	}
	return r.replica.List(ctx)
}

func (r relaySource) Changes(ctx context.Context, after Version, wait time.Duration) (Page, error) {
	if err := r.link.enter(ctx); err != nil {
		return Page{}, err
	}
	return r.replica.ChangesWithin(ctx, after, wait, timing.MaxAge())
}

func TestTheTimeoutsLeaveTimeToPollTheStore(t *testing.T) {
	require.LessOrEqual(t, timing.fraction(relayLongPollFraction)+timing.fraction(relaySlackFraction), timing.MaxAge(), "a silent relay is detected no later than a stale one")
	require.Less(t, timing.MaxAge(), staleness)
	require.Less(t, timing.fraction(longPollFraction), timing.fraction(relayLongPollFraction), "a relay is confirmed while it holds a poll")
}

func TestTimeoutsOfASource(t *testing.T) {
	cases := []struct {
		name            string
		relay, behind   bool
		longPoll, slack time.Duration
	}{
		{"the store", false, false, timing.fraction(longPollFraction), maxSlack},
		{"a relay", true, false, timing.fraction(relayLongPollFraction), timing.fraction(relaySlackFraction)},
		{"the store, for a host that is behind", false, true, 0, maxSlack},
		{"a relay, for a host that is behind", true, true, 0, maxSlack},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			longPoll, slack := timing.timeouts(tc.relay, tc.behind, maxSlack)
			require.Equal(t, tc.longPoll, longPoll)
			require.Equal(t, tc.slack, slack)
		})
	}
}

func TestRelayFault(t *testing.T) {
	cases := []struct {
		name   string
		page   Page
		behind bool
		fails  bool
	}{
		{"a recent relay at this host's version does not fail", Page{Version: at(5), Age: timing.MaxAge()}, false, false},
		{"a stale relay fails", Page{Version: at(5), Age: timing.MaxAge() + 1}, false, true},
		{"a relay at an older version than this host fails", Page{Version: at(4)}, false, true},
		{"a relay that lacks a change of other hosts fails", Page{Version: at(5)}, true, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			err := timing.relayFault(tc.page, at(5), tc.behind)
			require.Equal(t, tc.fails, err != nil, err)
		})
	}
}
