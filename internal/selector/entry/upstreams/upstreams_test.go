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

// newTracker returns a Tracker of one upstream, up-1, and the number of calls of
// Changed.
func newTracker(t *testing.T) (tracker *Tracker, changes *int) {
	view := configtest.View(t, configtest.Planning)
	changes = new(int)
	return New(Options{
		Host: "costa-a-1", View: view, Services: services.NewSet(view, func() float64 { return 0.5 }),
		Peers:    peers.New(member.Contact{Host: "costa-a-1", Zone: "costa-a"}),
		Answered: func() {}, Changed: func() { *changes++ }, Log: zerolog.Nop(),
	}), changes
}

// TestLeavingIsNeverRevoked checks that a report that an instance is leaving, from any
// source, applies until another instance is seen.
func TestLeavingIsNeverRevoked(t *testing.T) {
	type step func(tr *Tracker)
	seen := func(instance string, leaving bool) step {
		return func(tr *Tracker) {
			tr.Observe("up-1", upstream.Status{Incarnation: instance, Leaving: leaving, Load: -1})
		}
	}
	reported := func(instance string) step {
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
		{"another host's report", []step{seen("1", false), reported("1")}, true},
		{"another host's report of an old instance", []step{seen("2", false), reported("1")}, false},
		{"a report before any instance was seen belongs to the first seen", []step{reported(""), seen("1", false)}, true},
		{"the list, then an older list", []step{seen("1", false), listed(store.Leaving), listed(store.Live)}, true},
		{"the list, then an older list, then another instance", []step{seen("1", false), listed(store.Leaving), listed(store.Live), seen("2", false)}, false},
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

// TestOnlyFirstObservationsAreReported checks that this host reports a change to the
// zone once if it saw the change first, and not at all if it learned of the change from
// another host.
func TestOnlyFirstObservationsAreReported(t *testing.T) {
	tr, changes := newTracker(t)
	tr.Observe("up-1", upstream.Status{Incarnation: "1", Load: -1})
	tr.Observe("up-1", upstream.Status{Incarnation: "1", Load: -1})
	require.Equal(t, 1, *changes)
	require.True(t, tr.Merge([]member.UpstreamStatus{{Upstream: "up-1", Instance: "1", Leaving: true}}))
	require.False(t, tr.Merge([]member.UpstreamStatus{{Upstream: "up-1", Instance: "1", Leaving: true}}))
	require.Equal(t, 1, *changes)
}

// prober is a Probe that sends the probed addresses on a channel.
type prober chan string

func (p prober) Probe(_ context.Context, target upstream.Target) (upstream.Status, error) {
	p <- target.Addr
	return upstream.Status{Incarnation: "1", Load: -1}, nil
}

// TestProbesAreDistributed checks that a host probes the upstreams that are assigned to
// it and reports their instances.
func TestProbesAreDistributed(t *testing.T) {
	tr, _ := newTracker(t)
	require.Empty(t, tr.Statuses())
	all := tr.assigned()
	require.Len(t, all, 1, "the only host of its zone probes all")
	p := make(prober, 1)
	tr.probe(context.Background(), p.Probe, all[0])
	require.Equal(t, "up-1:1", <-p)
	require.Equal(t, []member.UpstreamStatus{{Upstream: "up-1", Instance: "1", Seen: true}}, tr.Statuses())
}
