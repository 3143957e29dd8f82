package upstream_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/upstream"
)

const warmUp = 3 * time.Second

func newRegistry() *upstream.Registry {
	return upstream.NewRegistry(func(string) time.Duration { return warmUp })
}

func ready(id, zone string) upstream.Registration {
	return upstream.Registration{ID: id, Service: "s", Zone: zone, Capacity: 2}
}

func draining(id, zone string) upstream.Registration {
	in := ready(id, zone)
	in.Draining = true
	return in
}

// ids returns the upstreams that may receive new work.
func ids(s *upstream.Set) []string {
	var out []string
	for _, u := range s.Service("s") {
		out = append(out, u.ID)
	}
	return out
}

// coldFor returns for how much longer an upstream is cold.
func coldFor(t *testing.T, r *upstream.Registry, id string, now time.Time) time.Duration {
	t.Helper()
	u, ok := r.Set().Get(id)
	require.True(t, ok)
	left := max(0, u.ColdUntil.Sub(now))
	require.Equal(t, left > 0, u.Cold(now))
	return left
}

func TestUpstreamThatAppearsAfterTheFirstReadIsCold(t *testing.T) {
	now := time.Now()
	r := newRegistry()
	r.Put(ready("old", "z"), now)
	r.MarkSynced()
	r.Put(ready("new", "z"), now)
	require.Zero(t, coldFor(t, r, "old", now))
	require.Equal(t, warmUp, coldFor(t, r, "new", now))
	// A later update, such as a heartbeat, does not restart the warm-up.
	r.Put(ready("new", "z"), now.Add(time.Second))
	require.Equal(t, warmUp, coldFor(t, r, "new", now))
}

func TestUpstreamIsColdForAsLongAsItReports(t *testing.T) {
	now := time.Now()
	r := newRegistry()
	in := ready("a", "z")
	in.ColdLeft = time.Second
	r.Put(in, now)
	require.Equal(t, time.Second, coldFor(t, r, "a", now))
	r.MarkSynced()
	in.ColdLeft = 2 * time.Second // it may report to be cold again at any time
	r.Put(in, now.Add(10*time.Second))
	require.Equal(t, 2*time.Second, coldFor(t, r, "a", now.Add(10*time.Second)))
}

func TestDrainingAndEvacuatedUpstreamsGetNoNewWork(t *testing.T) {
	now := time.Now()
	r := newRegistry()
	r.Put(ready("a", "west"), now)
	r.Put(ready("b", "east"), now)
	r.Put(draining("c", "west"), now)
	r.MarkSynced()
	require.Equal(t, []string{"a", "b"}, ids(r.Set()))

	r.Evacuate(map[string]bool{"west": true}, now)
	require.Equal(t, []string{"b"}, ids(r.Set()))
	require.Equal(t, 3, r.Set().Len())

	// When the evacuation of a zone ends, the upstreams of the zone are cold, the others warm.
	ended := now.Add(time.Minute)
	r.Evacuate(nil, ended)
	require.Equal(t, []string{"a", "b"}, ids(r.Set()))
	require.Equal(t, warmUp, coldFor(t, r, "a", ended))
	require.Zero(t, coldFor(t, r, "b", ended))

	r.Remove("a", now, time.Time{})
	require.Equal(t, []string{"b"}, ids(r.Set()))
}

func TestSetDoesNotChange(t *testing.T) {
	now := time.Now()
	r := newRegistry()
	r.Put(ready("a", "west"), now)
	before := r.Set()
	u, _ := before.Get("a")
	unchanged := *u
	r.Evacuate(map[string]bool{"west": true}, now)
	r.Evacuate(nil, now)
	r.Remove("a", now, now)
	u, _ = before.Get("a")
	require.True(t, u.ColdUntil.IsZero())
	require.Equal(t, unchanged, *u)
}

func TestEntryThatIsMissingAfterAnOutageMayHaveLapsed(t *testing.T) {
	start := time.Now()
	for _, c := range []struct {
		name string
		in   upstream.Registration
		// recovered is how long before the removal the store became available again;
		// negative is never.
		recovered time.Duration
		kept      bool
	}{
		{"the store was never unavailable", ready("a", "z"), -1, false},
		{"shortly after an outage", ready("a", "z"), 100 * time.Millisecond, true},
		{"long after an outage", ready("a", "z"), upstream.LapseGrace, false},
		{"the upstream was draining", draining("a", "z"), 100 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRegistry()
			r.Put(c.in, start)
			r.MarkSynced()
			var recovered time.Time
			if c.recovered >= 0 {
				recovered = start.Add(-c.recovered)
			}
			require.Equal(t, c.kept, r.Remove("a", start, recovered))
			_, known := r.Set().Get("a")
			require.Equal(t, c.kept, known)
		})
	}
}

func TestLapsedEntryThatIsNotWrittenAgainExpires(t *testing.T) {
	now := time.Now()
	r := newRegistry()
	r.Put(ready("back", "z"), now)
	r.Put(ready("gone", "z"), now)
	r.MarkSynced()
	require.True(t, r.Remove("back", now, now))
	require.True(t, r.Remove("gone", now, now))
	r.Put(ready("back", "z"), now.Add(time.Second))
	require.Empty(t, r.Expire(now.Add(upstream.LapseGrace-time.Millisecond)))
	require.Equal(t, []upstream.Registration{ready("gone", "z")}, r.Expire(now.Add(upstream.LapseGrace)))
	require.Equal(t, []string{"back"}, ids(r.Set()))
	require.Zero(t, coldFor(t, r, "back", now), "it has not restarted")
}

func TestUpstreamWhoseEntryIsSoonWrittenAgainHasNotRestarted(t *testing.T) {
	const removedRetention = time.Minute
	for _, c := range []struct {
		name string
		// other is when another upstream is removed, which drops the state of upstreams
		// that were removed too long ago.
		other time.Duration
		cold  time.Duration
	}{
		{"seconds later", 3 * time.Second, 0},
		{"within the retention", removedRetention - 1, 0},
		{"long after", removedRetention, warmUp},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			r := newRegistry()
			r.Put(ready("a", "z"), now)
			r.Put(ready("other", "z"), now)
			r.MarkSynced()
			require.False(t, r.Remove("a", now, time.Time{}))
			require.False(t, r.Remove("other", now.Add(c.other), time.Time{}))
			written := now.Add(c.other)
			r.Put(ready("a", "z"), written)
			require.Equal(t, c.cold, coldFor(t, r, "a", written))
		})
	}
}

// startedAt returns the entry of an upstream whose process started at a time.
func startedAt(id string, at int64) upstream.Registration {
	in := ready(id, "z")
	in.StartedAt = at
	return in
}

// A process that restarts under its id must not be mistaken for its previous run. Otherwise it
// is treated as warm and receives more requests than a cold upstream can process.
func TestAnUpstreamThatStartsAgainUnderItsIDIsCold(t *testing.T) {
	for _, c := range []struct {
		name          string
		before, after upstream.Registration
		cold          bool
	}{
		{"the same run", startedAt("a", 10), startedAt("a", 10), false},
		{"a later run", startedAt("a", 10), startedAt("a", 20), true},
		{"a later run whose clock was set back", startedAt("a", 10), startedAt("a", 5), true},
		{"runs without a start time", startedAt("a", 0), startedAt("a", 0), false},
		{"a run with a start time after one without", startedAt("a", 0), startedAt("a", 20), true},
	} {
		for name, between := range map[string]func(*upstream.Registry, time.Time){
			"its entry changes":           func(*upstream.Registry, time.Time) {},
			"its entry is deleted":        func(r *upstream.Registry, now time.Time) { r.Remove("a", now, time.Time{}) },
			"its entry lapses":            func(r *upstream.Registry, now time.Time) { r.Remove("a", now, now) },
			"its entry cannot be decoded": func(r *upstream.Registry, now time.Time) { r.Discard("a", now) },
		} {
			t.Run(c.name+", "+name, func(t *testing.T) {
				now := time.Now()
				r := newRegistry()
				r.Put(c.before, now)
				r.MarkSynced()
				between(r, now)
				require.True(t, r.Put(c.after, now.Add(time.Second)))
				require.Equal(t, c.cold, coldFor(t, r, "a", now.Add(time.Second)) > 0)
			})
		}
	}
}

// An entry that an earlier run wrote before it terminated may take effect seconds later and
// overwrite the entry of the next run.
func TestALateEntryOfAnEarlierRunChangesNothing(t *testing.T) {
	now := time.Now()
	r := newRegistry()
	r.MarkSynced()
	r.Put(startedAt("a", 10), now)
	r.Put(startedAt("a", 20), now)
	delayed := startedAt("a", 10)
	delayed.Draining = true
	require.False(t, r.Put(delayed, now))
	require.Equal(t, []string{"a"}, ids(r.Set()))
	u, _ := r.Set().Get("a")
	require.Equal(t, upstream.Run("a@20"), u.Run())
	r.Remove("a", now, time.Time{})
	require.False(t, r.Put(delayed, now), "also after the entry was deleted")
	require.True(t, r.Put(startedAt("a", 20), now))
	require.Equal(t, map[upstream.Run]bool{"a@20": true}, r.Set().Runs())
	require.Empty(t, r.ApplyDeferred(now.Add(upstream.StaleEntryGrace)), "the present run has written again")
}

// A write of a run before its drain may take effect after the drain was accepted, and must not
// bring requests back to the run.
func TestALateEntryFromBeforeADrainDoesNotEndIt(t *testing.T) {
	now := time.Now()
	entry := func(sequence int64, isDraining bool) upstream.Registration {
		in := startedAt("a", 10)
		in.Sequence, in.Draining = sequence, isDraining
		return in
	}
	for name, between := range map[string]func(*upstream.Registry){
		"known":     func(*upstream.Registry) {},
		"deleted":   func(r *upstream.Registry) { r.Remove("a", now, time.Time{}) },
		"discarded": func(r *upstream.Registry) { r.Discard("a", now) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRegistry()
			r.Put(entry(4, false), now)
			require.True(t, r.Put(entry(6, true), now))
			between(r)
			require.False(t, r.Put(entry(5, false), now))
			require.Empty(t, ids(r.Set()))
			require.Equal(t, upstream.RestoreGrace, r.DeferredFor("a", now))
			require.True(t, r.Put(entry(7, true), now), "the run writes again")
			require.Empty(t, ids(r.Set()))
			require.Empty(t, r.ApplyDeferred(now.Add(upstream.RestoreGrace)))
			require.True(t, r.Put(entry(8, false), now), "the run says later that it stays")
			require.Equal(t, []string{"a"}, ids(r.Set()))
		})
	}
	r := newRegistry()
	r.Put(entry(6, true), now)
	r.Put(entry(9, true), now)
	require.False(t, r.Put(entry(8, false), now), "an entry that repeats the drain counts as well")
	require.Empty(t, r.ApplyDeferred(now.Add(upstream.RestoreGrace-1)))
	require.Len(t, r.ApplyDeferred(now.Add(upstream.RestoreGrace)), 1, "no entry replaced it")
	require.Equal(t, []string{"a"}, ids(r.Set()))
}

// Another writer overwrites an upstream's entry with a valid one, and the upstream writes its
// own again. This entry must not be ignored permanently as a delayed entry of an earlier run.
func TestAnEntryOfAnEarlierRunThatStaysIsUsed(t *testing.T) {
	now := time.Now()
	r := newRegistry()
	r.Put(startedAt("a", 10), now)
	r.MarkSynced()
	other := startedAt("a", 999)
	other.Address = "elsewhere"
	require.NoError(t, r.Check(other, now))
	require.True(t, r.Put(other, now))
	require.False(t, r.Put(startedAt("a", 10), now), "it may be delayed")
	require.Empty(t, r.ApplyDeferred(now.Add(upstream.StaleEntryGrace-1)))
	require.Len(t, r.ApplyDeferred(now.Add(upstream.StaleEntryGrace)), 1)
	u, ok := r.Set().Get("a")
	require.True(t, ok)
	require.Equal(t, upstream.Run("a@10"), u.Run())
	require.Empty(t, u.Address)
	// It is the present run from now on, and the entry of the other run is deferred.
	require.True(t, r.Put(startedAt("a", 10), now))
	require.False(t, r.Put(other, now))
	r.Remove("a", now, time.Time{})
	require.Empty(t, r.ApplyDeferred(now.Add(time.Minute)), "the entry was deleted")
}

// Another writer overwrote the entry of a draining upstream with one without a start time. It
// was taken for another run, which was not draining, and the upstream's own entry after it for
// a delayed one of an earlier run.
func TestAnEntryWithoutTheStartTimeOfItsUpstreamNamesNoRun(t *testing.T) {
	now := time.Now()
	foreign := startedAt("a", 0)
	for name, between := range map[string]func(*upstream.Registry){
		"known":     func(*upstream.Registry) {},
		"deleted":   func(r *upstream.Registry) { r.Remove("a", now, time.Time{}) },
		"discarded": func(r *upstream.Registry) { r.Discard("a", now) },
		"lapsed":    func(r *upstream.Registry) { r.Remove("a", now, now) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRegistry()
			require.NoError(t, r.Check(foreign, now), "an upstream that is not known")
			r.Put(startedAt("a", 10), now)
			between(r)
			require.Error(t, r.Check(foreign, now.Add(time.Second)))
			require.NoError(t, r.Check(startedAt("a", 10), now))
			require.NoError(t, r.Check(startedAt("a", 20), now))
		})
	}
	r := newRegistry()
	r.Put(foreign, now)
	require.NoError(t, r.Check(foreign, now), "an earlier program writes no start time")
	r.Put(startedAt("a", 10), now)
	r.Remove("a", now, time.Time{})
	require.NoError(t, r.Check(foreign, now.Add(time.Minute)), "the last run is forgotten")
}

// An upstream that cannot reach the store announces in its responses that it is leaving. Its
// row still contains that it is ready, and may be written again or deleted in between. The run
// must keep draining.
func TestARunThatSaysItLeavesDrainsWhateverItsEntrySays(t *testing.T) {
	r, now := newRegistry(), time.Now()
	r.Put(ready("a", "z"), now)
	r.Put(ready("b", "z"), now)
	before := r.Set()
	leaving := ready("a", "z").Run()
	r.MarkLeaving(leaving, now)
	require.Equal(t, []string{"b"}, ids(r.Set()))
	require.Equal(t, []string{"a", "b"}, ids(before), "a set is not changed")
	r.Put(ready("a", "z"), now)
	require.Equal(t, []string{"b"}, ids(r.Set()), "its row is written again")
	require.False(t, r.Remove("a", now, now), "the row of a leaving upstream has no grace")
	r.Put(ready("a", "z"), now.Add(50*time.Second))
	require.Equal(t, []string{"b"}, ids(r.Set()), "its row is written again after it was deleted")
	next := ready("a", "z")
	next.StartedAt = 7
	r.Put(next, now)
	require.Equal(t, []string{"a", "b"}, ids(r.Set()), "another run under the id is not leaving")
	r.MarkLeaving("c@9", now)
	registered := ready("c", "z")
	registered.StartedAt = 9
	r.Put(registered, now)
	require.Equal(t, []string{"a", "b"}, ids(r.Set()), "the announcement came before its row was read")
}

// A process without a start time whose row was missing for long may have restarted. It must not
// be treated as leaving because of an earlier run's announcement.
func TestARunWithoutAStartTimeThatRegistersAgainLateHasRestarted(t *testing.T) {
	r, now := newRegistry(), time.Now()
	withStart := ready("b", "z")
	withStart.StartedAt = 7
	for _, in := range []upstream.Registration{ready("a", "z"), withStart} {
		r.Put(in, now)
		r.MarkLeaving(in.Run(), now)
		r.Remove(in.ID, now, time.Time{})
	}
	later := now.Add(2 * time.Minute)
	r.Put(ready("c", "z"), later)
	r.Remove("c", later, time.Time{}) // drops the state of upstreams that were removed long ago
	r.Put(ready("a", "z"), later)
	r.Put(withStart, later)
	require.Equal(t, []string{"a"}, ids(r.Set()), "the run with a start time is the same")
}
