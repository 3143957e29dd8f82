package upstreams

import (
	"context"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/entry/configtest"
	"cairndock/internal/selector/entry/peers"
	"cairndock/internal/selector/entry/services"
	"cairndock/internal/selector/member"
	"cairndock/internal/selector/store"
	"cairndock/internal/selector/upstream"
)

// newTracker is a tracker of one upstream, up-1. It counts what was changed.
func newTracker(t *testing.T) (tracker *Tracker, changes *int) {
	now := configtest.View(t, configtest.Planning)
	changes = new(int)
	return New(Options{
		Host: "costa-a-1", View: now, Services: services.NewSet(now, func() float64 { return 0.5 }),
		Peers:    peers.New(member.Contact{Host: "costa-a-1", Zone: "costa-a"}),
		Answered: func() {}, Changed: func() { *changes++ }, Log: zerolog.Nop(),
	}), changes
}

// TestLeavingIsNeverTakenBack: whoever reported first that an instance is
// leaving, only another instance ends it.
func TestLeavingIsNeverTakenBack(t *testing.T) {
	type step func(tr *Tracker)
	seen := func(instance string, leaving bool) step {
		return func(tr *Tracker) {
			tr.Observe("up-1", upstream.Status{Incarnation: instance, Leaving: leaving, Load: -1})
		}
	}
	told := func(instance string) step {
		return func(tr *Tracker) {
			tr.Merge([]member.UpstreamStatus{{Upstream: "up-1", Instance: instance, Leaving: true}})
		}
	}
	listed := func(state store.State) step {
		return func(tr *Tracker) { tr.MergeList([]store.HostState{{Name: "up-1", State: state}}) }
	}
	cases := []struct {
		name    string
		steps   []step
		leaving bool
	}{
		{"nothing reported", nil, false},
		{"live", []step{seen("1", false)}, false},
		{"its own report", []step{seen("1", true)}, true},
		{"its own report, then none", []step{seen("1", true), seen("1", false)}, true},
		{"its own report, then another instance", []step{seen("1", true), seen("2", false)}, false},
		{"another host's report", []step{seen("1", false), told("1")}, true},
		{"another host's report of an old instance", []step{seen("2", false), told("1")}, false},
		{"a report before any instance was seen belongs to the first seen", []step{told(""), seen("1", false)}, true},
		{"the list, which then goes back", []step{seen("1", false), listed(store.Leaving), listed(store.Live)}, true},
		{"the list, which goes back, then another instance", []step{seen("1", false), listed(store.Leaving), listed(store.Live), seen("2", false)}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			tr, _ := newTracker(t)
			for _, s := range tc.steps {
				s(tr)
			}
			u, ok := tr.View().LocalUpstream("up-1")
			require.True(t, ok)
			require.Equal(t, tc.leaving, tr.Leaving(u))
		})
	}
}

// TestOnlyNewsIsSpread: the zone is told once of what this host saw first,
// and not of what it learned from the zone.
func TestOnlyNewsIsSpread(t *testing.T) {
	tr, changes := newTracker(t)
	tr.Observe("up-1", upstream.Status{Incarnation: "1", Load: -1})
	tr.Observe("up-1", upstream.Status{Incarnation: "1", Load: -1})
	require.Equal(t, 1, *changes)
	require.True(t, tr.Merge([]member.UpstreamStatus{{Upstream: "up-1", Instance: "1", Leaving: true}}))
	require.False(t, tr.Merge([]member.UpstreamStatus{{Upstream: "up-1", Instance: "1", Leaving: true}}))
	require.Equal(t, 1, *changes)
}

type prober chan string

func (p prober) Probe(_ context.Context, target upstream.Target) (upstream.Status, error) {
	p <- target.Addr
	return upstream.Status{Incarnation: "1", Load: -1}, nil
}

// TestProbesAreSharedOut: a host probes the upstreams that fall to it, and
// reports their instances.
func TestProbesAreSharedOut(t *testing.T) {
	tr, _ := newTracker(t)
	require.Empty(t, tr.Statuses())
	all := tr.probed()
	require.Len(t, all, 1, "the only host of its zone probes all")
	p := make(prober, 1)
	tr.probe(context.Background(), p.Probe, all[0])
	require.Equal(t, "up-1:1", <-p)
	require.Equal(t, []member.UpstreamStatus{{Upstream: "up-1", Instance: "1", Seen: true}}, tr.Statuses())
}
