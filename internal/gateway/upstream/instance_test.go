package upstream_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/upstream"
)

const warmUp = 3 * time.Second

func registry() *upstream.Registry {
	return upstream.NewRegistry(func(string) time.Duration { return warmUp })
}

func ready(id, zone string) upstream.Registration {
	return upstream.Registration{ID: id, Service: "s", Zone: zone, Capacity: 2}
}

func ids(s *upstream.Set) []string {
	var out []string
	for _, m := range s.Service("s") {
		out = append(out, m.ID)
	}
	return out
}

func coldFor(t *testing.T, r *upstream.Registry, id string, now time.Time) time.Duration {
	t.Helper()
	m, ok := r.Set().Get(id)
	require.True(t, ok)
	return max(0, m.ColdUntil.Sub(now))
}

func TestOnlyWhatComesAfterTheFirstReadingIsCold(t *testing.T) {
	now := time.Now()
	r := registry()
	r.Put(ready("old", "z"), now)
	r.Seed()
	r.Put(ready("new", "z"), now)
	require.Zero(t, coldFor(t, r, "old", now))
	require.Equal(t, warmUp, coldFor(t, r, "new", now))
	// A later word, such as a heartbeat's, does not begin the cold anew.
	r.Put(ready("new", "z"), now.Add(time.Second))
	require.Equal(t, warmUp, coldFor(t, r, "new", now))
}

func TestAnInstanceTellsThatItIsCold(t *testing.T) {
	now := time.Now()
	r := registry()
	in := ready("a", "z")
	in.ColdLeft = time.Second
	r.Put(in, now)
	require.Equal(t, time.Second, coldFor(t, r, "a", now))
	r.Seed()
	in.ColdLeft = 2 * time.Second // cold again, at any moment
	r.Put(in, now.Add(10*time.Second))
	require.Equal(t, 2*time.Second, coldFor(t, r, "a", now.Add(10*time.Second)))
}

func TestDrainingAndEvacuatedInstancesGetNothing(t *testing.T) {
	now := time.Now()
	r := registry()
	r.Put(ready("a", "west"), now)
	r.Put(ready("b", "east"), now)
	leaving := ready("c", "west")
	leaving.Draining = true
	r.Put(leaving, now)
	r.Seed()
	require.Equal(t, []string{"a", "b"}, ids(r.Set()))

	r.Evacuate(map[string]bool{"west": true}, now)
	require.Equal(t, []string{"b"}, ids(r.Set()))
	require.Equal(t, 3, r.Set().Len())

	// A zone that is taken back comes cold; the other zone stays warm.
	back := now.Add(time.Minute)
	r.Evacuate(nil, back)
	require.Equal(t, []string{"a", "b"}, ids(r.Set()))
	require.Equal(t, warmUp, coldFor(t, r, "a", back))
	require.Zero(t, coldFor(t, r, "b", back))

	r.Remove("a", now, time.Time{})
	require.Equal(t, []string{"b"}, ids(r.Set()))
}

func TestASetDoesNotChange(t *testing.T) {
	now := time.Now()
	r := registry()
	r.Put(ready("a", "west"), now)
	before := r.Set()
	r.Evacuate(map[string]bool{"west": true}, now)
	r.Evacuate(nil, now)
	m, _ := before.Get("a")
	require.True(t, m.ColdUntil.IsZero())
}

func TestEntriesThatLapsedWhileTheSourceWasAwayMayComeBack(t *testing.T) {
	start := time.Now()
	for _, c := range []struct {
		name     string
		draining bool
		// returned is how long before the removal the source came back;
		// negative is never.
		returned time.Duration
		stays    bool
	}{
		{"the source was never away", false, -1, false},
		{"just after its return", false, 100 * time.Millisecond, true},
		{"long after its return", false, upstream.LapseGrace, false},
		{"had said that it leaves", true, 100 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := registry()
			in := ready("a", "z")
			in.Draining = c.draining
			r.Put(in, start)
			r.Seed()
			var returned time.Time
			if c.returned >= 0 {
				returned = start.Add(-c.returned)
			}
			require.Equal(t, c.stays, r.Remove("a", start, returned))
			_, known := r.Set().Get("a")
			require.Equal(t, c.stays, known)
		})
	}
}

func TestALapsedEntryThatDoesNotComeBackIsGone(t *testing.T) {
	now := time.Now()
	r := registry()
	r.Put(ready("back", "z"), now)
	r.Put(ready("gone", "z"), now)
	r.Seed()
	require.True(t, r.Remove("back", now, now))
	require.True(t, r.Remove("gone", now, now))
	r.Put(ready("back", "z"), now.Add(time.Second))
	require.Empty(t, r.Expire(now.Add(upstream.LapseGrace-time.Millisecond)))
	require.Equal(t, []upstream.Registration{ready("gone", "z")}, r.Expire(now.Add(upstream.LapseGrace)))
	require.Equal(t, []string{"back"}, ids(r.Set()))
	require.Zero(t, coldFor(t, r, "back", now), "it has not started anew")
}

func TestAnEntryThatComesBackHasNotStartedAnew(t *testing.T) {
	now := time.Now()
	r := registry()
	r.Put(ready("a", "z"), now)
	r.Seed()
	require.False(t, r.Remove("a", now, time.Time{}))
	r.Put(ready("a", "z"), now.Add(3*time.Second))
	require.Zero(t, coldFor(t, r, "a", now.Add(3*time.Second)))
}
