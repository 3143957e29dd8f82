package instance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/instance"
)

const warmUp = 3 * time.Second

func registry() *instance.Registry {
	return instance.NewRegistry(func(string) time.Duration { return warmUp })
}

func ready(id, zone string) instance.Instance {
	return instance.Instance{ID: id, Service: "s", Zone: zone, Capacity: 2}
}

func ids(s *instance.Set) []string {
	var out []string
	for _, m := range s.Service("s") {
		out = append(out, m.ID)
	}
	return out
}

func coldFor(t *testing.T, r *instance.Registry, id string, now time.Time) time.Duration {
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

	r.Remove("a")
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
