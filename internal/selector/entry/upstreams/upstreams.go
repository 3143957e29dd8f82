// Package upstreams tracks the state of the upstreams of a host's zone: which
// incarnation of each runs, and which incarnations are leaving.
//
// It owns what upstreams, the platform's host list and other hosts of the zone
// reported, and the probes of the upstreams that fall to this host. A report
// that an incarnation is leaving is never taken back; only another incarnation of
// the upstream ends it.
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

// incarnationKey is one incarnation of an upstream.
type incarnationKey struct{ upstream, incarnation string }

// Tracker tracks the states of the zone's upstreams.
type Tracker struct {
	Options

	mu sync.Mutex
	// incarnations is the last one seen of each upstream, and departed the
	// incarnations that are leaving. One that is gone never comes back.
	incarnations map[string]string
	departed     map[incarnationKey]struct{}
	probing      map[string]struct{} // upstreams that this host probes
	// listed is the platform's host list as last read, with what it named
	// before.
	listed map[string]store.State
}

// New makes a Tracker that has seen no upstream.
func New(o Options) *Tracker {
	return &Tracker{
		Options:      o,
		incarnations: map[string]string{},
		departed:     map[incarnationKey]struct{}{},
		probing:      map[string]struct{}{},
		listed:       map[string]store.State{},
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
	_, departed := t.departed[incarnationKey{u.Name, t.incarnations[u.Name]}]
	return departed
}

// Statuses gives what this host reports of the upstreams to its zone.
func (t *Tracker) Statuses() []member.UpstreamStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []member.UpstreamStatus
	for name := range t.probing {
		if incarnation := t.incarnations[name]; incarnation != "" {
			out = append(out, member.UpstreamStatus{Upstream: name, Instance: incarnation, Seen: true})
		}
	}
	for key := range t.departed {
		out = append(out, member.UpstreamStatus{Upstream: key.upstream, Instance: key.incarnation, Leaving: true})
	}
	return out
}

// Merge takes in what another host reports, and says whether anything changed.
func (t *Tracker) Merge(statuses []member.UpstreamStatus) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, s := range statuses {
		changed = t.note(s) || changed
	}
	return changed
}

// Observe takes in what an upstream reported with a response or a probe.
func (t *Tracker) Observe(name string, w upstream.Status) {
	t.Answered()
	t.mu.Lock()
	before := t.incarnations[name]
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
			t.note(member.UpstreamStatus{Upstream: s.Name, Instance: t.incarnations[s.Name], Leaving: true})
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

// note takes in what is known of an incarnation and reports whether anything
// changed; t.mu is held.
func (t *Tracker) note(s member.UpstreamStatus) bool {
	changed := false
	if s.Seen && s.Instance != "" && t.incarnations[s.Upstream] != s.Instance {
		t.adoptIncarnation(s)
		changed = true
	}
	key := incarnationKey{s.Upstream, s.Instance}
	if _, known := t.departed[key]; s.Leaving && !known {
		t.departed[key] = struct{}{}
		changed = true
	}
	return changed
}

// adoptIncarnation notes the incarnation seen. A report of leaving that came before
// any incarnation was seen belongs to the first one seen; t.mu is held.
func (t *Tracker) adoptIncarnation(s member.UpstreamStatus) {
	unseen := incarnationKey{s.Upstream, ""}
	if _, leaving := t.departed[unseen]; leaving && t.incarnations[s.Upstream] == "" {
		delete(t.departed, unseen)
		t.departed[incarnationKey{s.Upstream, s.Instance}] = struct{}{}
	}
	t.incarnations[s.Upstream] = s.Instance
}

const (
	// probeInterval is the time between two probes of an upstream. Traffic
	// reports sooner; this bounds an idle upstream's.
	probeInterval = 2 * time.Second
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
	// maxProbes bounds the probes of one interval, whatever falls to a host.
	maxProbes = 20
)

// Probe asks an upstream for its state.
type Probe func(ctx context.Context, target upstream.Target) (upstream.Status, error)

// ProbeLoop probes the zone's upstreams until ctx ends. Each is probed by one
// host, which reports a change to the others.
func (t *Tracker) ProbeLoop(ctx context.Context, send Probe) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for next := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		all := t.probed()
		for i := range min(maxProbes, len(all)) {
			go t.probe(ctx, send, all[(next+i)%len(all)])
		}
		next += maxProbes
	}
}

// probed gives the upstreams that fall to this host to probe.
func (t *Tracker) probed() []config.Upstream {
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

// probe asks one upstream for its state.
func (t *Tracker) probe(ctx context.Context, send Probe, u config.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	w, err := send(ctx, upstream.Target{Name: u.Name, Zone: u.Zone, Addr: u.Addr})
	if err != nil {
		// Only requests decide whether an upstream can be used.
		t.Log.Debug().Str("upstream", u.Name).Err(err).Msg("entry: probe failed")
		return
	}
	t.Observe(u.Name, w)
}
