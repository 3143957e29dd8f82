package watch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestReplicaServesChangesSinceAnyVersionItKnows(t *testing.T) {
	now := time.Now()
	r := NewReplica()
	_, err := r.List(t.Context())
	require.ErrorIs(t, err, ErrHistoryGone, "a replica that was not listed is not an empty table")
	r.replace(Page{Version: at(5), Rows: []Row{{Key: "a", Version: 3}, {Key: "b", Version: 4}}}, now)
	_, err = r.Changes(t.Context(), at(4), 0)
	require.ErrorIs(t, err, ErrHistoryGone)
	u, ok := r.replace(Page{Version: at(9), Rows: []Row{{Key: "b", Version: 8}}}, now)
	require.True(t, ok)
	require.Len(t, u.Rows, 2)
	p, err := r.Changes(t.Context(), at(5), 0)
	require.NoError(t, err)
	require.ElementsMatch(t, []Row{{Key: "a", Version: 9, Deleted: true}, {Key: "b", Version: 8}}, p.Rows)
	// A deleted row is not restored by an older version of itself.
	require.Empty(t, r.apply(Page{Version: at(9), Rows: []Row{{Key: "a", Version: 7}}}, now))
	// Once the tombstone is dropped, changes since older versions can't be served any
	// more.
	r.apply(Page{Version: at(10), Rows: []Row{{Key: "c", Version: 10}}}, now.Add(2*tombstoneRetention))
	_, err = r.Changes(t.Context(), at(5), 0)
	require.ErrorIs(t, err, ErrHistoryGone)
}

func TestReplicasThatPollEachOtherGrowOlder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := NewReplica(), NewReplica()
		a.replace(Page{Version: at(1)}, time.Now())
		b.replace(Page{Version: at(1)}, time.Now())
		for range 20 {
			time.Sleep(time.Second)
			pa, _ := a.Changes(t.Context(), at(1), 0)
			b.apply(pa, time.Now())
			pb, _ := b.Changes(t.Context(), at(1), 0)
			a.apply(pb, time.Now())
		}
		require.Equal(t, 20*time.Second, a.Age())
	})
}

func TestAStoreCountsAsAwayAfterAWhile(t *testing.T) {
	start := time.Now()
	r := NewReplica()
	r.replace(Page{Version: at(1)}, start)
	require.Zero(t, r.storeReturned(), "the first listing does not end an outage")
	early := start.Add(minStoreOutage - time.Millisecond)
	r.apply(Page{Version: at(1)}, early)
	require.Zero(t, r.storeReturned())
	late := early.Add(minStoreOutage + time.Second)
	r.apply(Page{Version: at(1), Age: 100 * time.Millisecond}, late)
	require.Equal(t, late, r.storeReturned())
}

// A host that polls a relay receives the store's confirmations as soon as the relay
// does. Otherwise the ages of a chain of relays add up.
func TestARelayRespondsWhenTheStoreConfirmsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := NewReplica()
		r.replace(Page{Version: at(1)}, time.Now())
		time.Sleep(500 * time.Millisecond)
		received := make(chan Page)
		go func() {
			p, err := r.ChangesWithin(t.Context(), at(1), timing.fraction(relayLongPollFraction), timing.MaxAge())
			require.NoError(t, err)
			received <- p
		}()
		time.Sleep(100 * time.Millisecond)
		r.apply(Page{Version: at(1)}, time.Now())
		began := time.Now()
		p := <-received
		require.Zero(t, time.Since(began))
		require.Zero(t, p.Age)
		require.Empty(t, p.Rows)
	})
}
