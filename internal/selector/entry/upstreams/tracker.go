// Package upstreams tracks the state of the upstreams of a host's zone: which
// instance of each runs, and which instances are leaving.
//
// It owns what upstreams, the platform's host list and other hosts of the zone
// reported, and the probes of the upstreams that fall to this host. A report
// that an instance is leaving is never taken back; only another instance of
// the upstream ends it.
package upstreams

import (
	"sync"

	"github.com/rs/zerolog"

	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/peers"
	"cairndock/internal/selector/entry/services"
	"cairndock/internal/selector/member"
	"cairndock/internal/selector/slot"
	"cairndock/internal/selector/store"
	"cairndock/internal/selector/upstream"
)

// Options are what a Tracker is made of.
type Options struct {
	Host     string
	View     func() *config.View
	Services *services.Set
	Peers    *peers.Table
	// Answered is called when an upstream has answered.
	Answered func()
	// Changed is called, without a lock, when this host saw a change first.
	Changed func()
	Log     zerolog.Logger
}

// instanceKey is one instance of an upstream.
type instanceKey struct{ upstream, instance string }

// Tracker tracks the states of the zone's upstreams.
type Tracker struct {
	Options

	mu sync.Mutex
	// instances is the last instance seen of each upstream, and departed the
	// instances that are leaving. An instance never comes back.
	instances map[string]string
	departed  map[instanceKey]struct{}
	probing   map[string]struct{} // upstreams that this host probes
	// listed is the platform's host list as last read, with what it named
	// before.
	listed map[string]store.State
}

// New makes a Tracker that has seen no upstream.
func New(o Options) *Tracker {
	return &Tracker{
		Options:   o,
		instances: map[string]string{},
		departed:  map[instanceKey]struct{}{},
		probing:   map[string]struct{}{},
		listed:    map[string]store.State{},
	}
}

// Leaving reports whether an upstream is to get no new work: by the
// configuration, by the platform's host list or by its own report.
func (t *Tracker) Leaving(u config.Upstream) bool {
	if u.State == config.StateLeaving {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if state := t.listed[u.Name]; state == store.Leaving || state == store.Gone {
		return true
	}
	_, departed := t.departed[instanceKey{u.Name, t.instances[u.Name]}]
	return departed
}

// Signs gives what this host reports of the upstreams to its zone.
func (t *Tracker) Signs() []member.UpstreamStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []member.UpstreamStatus
	for name := range t.probing {
		if instance := t.instances[name]; instance != "" {
			out = append(out, member.UpstreamStatus{Upstream: name, Instance: instance, Seen: true})
		}
	}
	for key := range t.departed {
		out = append(out, member.UpstreamStatus{Upstream: key.upstream, Instance: key.instance, Leaving: true})
	}
	return out
}

// Merge takes in what another host reports, and says whether anything changed.
func (t *Tracker) Merge(signs []member.UpstreamStatus) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, s := range signs {
		changed = t.note(s) || changed
	}
	return changed
}

// Observe takes in what an upstream reported with a response or a probe.
func (t *Tracker) Observe(name string, w upstream.Status) {
	t.Answered()
	t.mu.Lock()
	before := t.instances[name]
	changed := t.note(member.UpstreamStatus{Upstream: name, Instance: w.Incarnation, Leaving: w.Leaving, Seen: true})
	t.mu.Unlock()
	if changed {
		t.Changed()
	}
	u, ok := t.View().LocalUpstream(name)
	if !ok {
		return
	}
	gate := t.Services.Get(u.Service).Gate
	if w.Load >= 0 {
		gate.Report(name, w.Load)
	}
	if before != "" && w.Incarnation != "" && before != w.Incarnation {
		gate.Do(func(p *slot.Pool) { p.Restarted(name) })
	}
}

// MergeList takes in the platform's host list, which names upstreams as well
// as entry hosts. What it said of an upstream's leaving holds even when a
// later list, which may be older, says that it is live.
func (t *Tracker) MergeList(hosts []store.HostState) {
	v := t.View()
	t.mu.Lock()
	changed := false
	for _, s := range hosts {
		old := t.listed[s.Name]
		t.listed[s.Name] = s.State
		changed = changed || old != s.State
		if _, local := v.LocalUpstream(s.Name); local && s.State != store.Live {
			t.note(member.UpstreamStatus{Upstream: s.Name, Instance: t.instances[s.Name], Leaving: true})
		}
	}
	t.mu.Unlock()
	if changed {
		t.Changed()
	}
}

// Listed reports whether the platform's host list ever named a host.
func (t *Tracker) Listed(host string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.listed[host]
	return ok
}

// note takes in what is known of an instance and reports whether anything
// changed; t.mu is held.
func (t *Tracker) note(s member.UpstreamStatus) bool {
	changed := false
	if s.Seen && s.Instance != "" && t.instances[s.Upstream] != s.Instance {
		t.adoptInstance(s)
		changed = true
	}
	key := instanceKey{s.Upstream, s.Instance}
	if _, known := t.departed[key]; s.Leaving && !known {
		t.departed[key] = struct{}{}
		changed = true
	}
	return changed
}

// adoptInstance notes the instance seen. A report of leaving that came before
// any instance was seen belongs to the first one seen; t.mu is held.
func (t *Tracker) adoptInstance(s member.UpstreamStatus) {
	unseen := instanceKey{s.Upstream, ""}
	if _, leaving := t.departed[unseen]; leaving && t.instances[s.Upstream] == "" {
		delete(t.departed, unseen)
		t.departed[instanceKey{s.Upstream, s.Instance}] = struct{}{}
	}
	t.instances[s.Upstream] = s.Instance
}
