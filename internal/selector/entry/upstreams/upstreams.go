// Package upstreams tracks the state of the upstreams of a host's zone: which
// incarnation of each upstream is running, and which incarnations are leaving.
//
// The package merges reports of the upstreams, of the platform's host list and of
// other hosts of the zone, and probes the upstreams that are assigned to this host.
// A report that an incarnation is leaving is never revoked. It applies until another
// incarnation of the upstream is seen.
package upstreams

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/peers"
	"cairndock/internal/selector/entry/services"
	"cairndock/internal/selector/member"
	"cairndock/internal/selector/roster"
	"cairndock/internal/selector/slot"
	"cairndock/internal/selector/store"
	"cairndock/internal/selector/upstream"
)

// Options configure a Tracker.
type Options struct {
	Host     string
	View     func() *config.View
	Services *services.Set
	Peers    *peers.Table
	// Answered is called when an upstream has responded.
	Answered func()
	// Changed is called, without a lock held, when this host sees a change that
	// no other host has reported.
	Changed func()
	Log     zerolog.Logger
}

// incarnationKey identifies one incarnation of an upstream.
type incarnationKey struct{ upstream, incarnation string }

// Tracker tracks the states of the zone's upstreams.
type Tracker struct {
	Options

	mu sync.Mutex
	// incarnations maps each upstream to its latest incarnation.
	// leavingIncarnations contains the incarnations that are leaving. They are
	// kept, because an incarnation that has stopped never runs again.
	incarnations        map[string]string
	leavingIncarnations map[incarnationKey]struct{}
	probing             map[string]struct{} // upstreams that this host probes
	// listed is the platform's host list. It keeps the last state of hosts that
	// only earlier lists contained.
	listed map[string]store.State
}

// New returns a Tracker that has seen no upstream.
func New(o Options) *Tracker {
	return &Tracker{
		Options:             o,
		incarnations:        map[string]string{},
		leavingIncarnations: map[incarnationKey]struct{}{},
		probing:             map[string]struct{}{},
		listed:              map[string]store.State{},
	}
}

// Leaving reports whether an upstream must get no new requests, according to the
// configuration, the platform's host list, or a report of the upstream or of another
// host.
func (t *Tracker) Leaving(u config.Upstream) bool {
	if u.State == config.StateLeaving {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if state := t.listed[u.Name]; state == store.Leaving || state == store.Gone {
		return true
	}
	_, leaving := t.leavingIncarnations[incarnationKey{u.Name, t.incarnations[u.Name]}]
	return leaving
}

// Statuses returns the upstream states that this host reports to its zone.
func (t *Tracker) Statuses() []member.UpstreamStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []member.UpstreamStatus
	for name := range t.probing {
		if incarnation := t.incarnations[name]; incarnation != "" {
			out = append(out, member.UpstreamStatus{Upstream: name, Instance: incarnation, Seen: true})
		}
	}
	for key := range t.leavingIncarnations {
		out = append(out, member.UpstreamStatus{Upstream: key.upstream, Instance: key.incarnation, Leaving: true})
	}
	return out
}

// Merge merges the report of another host and reports whether anything changed.
func (t *Tracker) Merge(statuses []member.UpstreamStatus) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, s := range statuses {
		changed = t.record(s) || changed
	}
	return changed
}

// Observe merges the state that an upstream reported in a response to a request or
// a probe.
func (t *Tracker) Observe(name string, status upstream.Status) {
	t.Answered()
	t.mu.Lock()
	before := t.incarnations[name]
	changed := t.record(member.UpstreamStatus{Upstream: name, Instance: status.Incarnation, Leaving: status.Leaving, Seen: true})
	t.mu.Unlock()
	if changed {
		t.Changed()
	}
	u, ok := t.View().LocalUpstream(name)
	if !ok {
		return
	}
	gate := t.Services.Get(u.Service).Gate
	if status.Load >= 0 {
		gate.Report(name, status.Load)
	}
	if before != "" && status.Incarnation != "" && before != status.Incarnation {
		gate.Do(func(p *slot.Pool) { p.Restarted(name) })
	}
}

// MergeList merges the platform's host list, which contains upstreams and hosts. An
// upstream that was listed as leaving stays so even if a list that is read later
// reports it as live, because that list may be older.
func (t *Tracker) MergeList(hosts []store.HostState) {
	v := t.View()
	t.mu.Lock()
	changed := false
	for _, s := range hosts {
		old := t.listed[s.Name]
		t.listed[s.Name] = s.State
		changed = changed || old != s.State
		if _, local := v.LocalUpstream(s.Name); local && s.State != store.Live {
			t.record(member.UpstreamStatus{Upstream: s.Name, Instance: t.incarnations[s.Name], Leaving: true})
		}
	}
	t.mu.Unlock()
	if changed {
		t.Changed()
	}
}

// Listed reports whether the platform's host list has ever contained a host.
func (t *Tracker) Listed(host string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.listed[host]
	return ok
}

// record merges one reported state of an incarnation and reports whether anything
// changed. t.mu must be held.
func (t *Tracker) record(s member.UpstreamStatus) bool {
	changed := false
	if s.Seen && s.Instance != "" && t.incarnations[s.Upstream] != s.Instance {
		t.recordIncarnation(s)
		changed = true
	}
	key := incarnationKey{s.Upstream, s.Instance}
	if _, known := t.leavingIncarnations[key]; s.Leaving && !known {
		t.leavingIncarnations[key] = struct{}{}
		changed = true
	}
	return changed
}

// recordIncarnation stores the latest incarnation of an upstream. A report of leaving
// that was received before any incarnation was seen applies to the first incarnation
// seen. t.mu must be held.
func (t *Tracker) recordIncarnation(s member.UpstreamStatus) {
	unidentified := incarnationKey{s.Upstream, ""}
	if _, leaving := t.leavingIncarnations[unidentified]; leaving && t.incarnations[s.Upstream] == "" {
		delete(t.leavingIncarnations, unidentified)
		t.leavingIncarnations[incarnationKey{s.Upstream, s.Instance}] = struct{}{}
	}
	t.incarnations[s.Upstream] = s.Instance
}

const (
	// probeInterval is the time between two probes of an upstream. Responses to
	// requests report changes sooner; for an idle upstream, this interval limits
	// the delay.
	probeInterval = 2 * time.Second
	// probeTimeout is the time limit of one probe.
	probeTimeout = time.Second
	// maxProbes is the maximum number of probes in one interval, regardless of the
	// number of upstreams that are assigned to this host.
	maxProbes = 20
)

// Probe queries an upstream for its state.
type Probe func(ctx context.Context, target upstream.Target) (upstream.Status, error)

// ProbeLoop probes the upstreams that are assigned to this host until ctx is done.
// Each upstream of the zone is probed by one host, which reports changes to the others.
func (t *Tracker) ProbeLoop(ctx context.Context, send Probe) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for next := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		all := t.assigned()
		for i := range min(maxProbes, len(all)) {
			go t.probe(ctx, send, all[(next+i)%len(all)])
		}
		next += maxProbes
	}
}

// assigned returns the upstreams that this host must probe and stores their names in
// t.probing.
func (t *Tracker) assigned() []config.Upstream {
	hosts := t.Peers.UpNames()
	var out []config.Upstream
	probing := map[string]struct{}{}
	for _, svc := range t.View().Services() {
		for _, u := range svc.Local {
			if roster.Rank("probe:"+u.Name, hosts)[0] == t.Host {
				out = append(out, u)
				probing[u.Name] = struct{}{}
			}
		}
	}
	t.mu.Lock()
	t.probing = probing
	t.mu.Unlock()
	return out
}

// probe queries one upstream for its state.
func (t *Tracker) probe(ctx context.Context, send Probe, u config.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	status, err := send(ctx, upstream.Target{Name: u.Name, Zone: u.Zone, Addr: u.Addr})
	if err != nil {
		// A failed probe changes nothing, because only requests decide whether
		// an upstream can be used.
		t.Log.Debug().Str("upstream", u.Name).Err(err).Msg("entry: probe failed")
		return
	}
	t.Observe(u.Name, status)
}
