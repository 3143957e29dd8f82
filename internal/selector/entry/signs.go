package entry

import (
	"context"
	"time"

	"cairndock/internal/selector/config"
	"cairndock/internal/selector/member"
	"cairndock/internal/selector/roster"
	"cairndock/internal/selector/slot"
	"cairndock/internal/selector/store"
	"cairndock/internal/selector/upstream"
)

const (
	// probeInterval is the time between two probes of an upstream.
	probeInterval = 2 * time.Second
	probeTimeout  = time.Second
	// maxProbes bounds the probes of one interval, whatever falls to a host.
	maxProbes = 20
)

// ownSigns tells what this host knows of the zone's upstreams; h.mu is held.
func (h *Host) ownSigns() []member.Sign {
	var out []member.Sign
	for name := range h.probing {
		if instance := h.instances[name]; instance != "" {
			out = append(out, member.Sign{Upstream: name, Instance: instance, Seen: true})
		}
	}
	for key := range h.departed {
		out = append(out, member.Sign{Upstream: key.upstream, Instance: key.instance, Leaving: true})
	}
	return out
}

// hear takes in an upstream's own word with an answer or a probe.
func (h *Host) hear(name string, w upstream.Word) {
	h.heard()
	h.mu.Lock()
	before := h.instances[name]
	changed := h.noteSign(member.Sign{Upstream: name, Instance: w.Instance, Leaving: w.Leaving, Seen: true})
	h.mu.Unlock()
	if changed {
		h.reconfigure()
		h.tellZone()
	}
	svc, ok := h.serviceOf(name)
	if !ok {
		return
	}
	s := h.services.Get(svc)
	if w.Load >= 0 {
		s.Gate.Report(name, w.Load)
	}
	if before != "" && w.Instance != "" && before != w.Instance {
		s.Gate.Do(func(p *slot.Pool) { p.Restarted(name) })
	}
}

// noteSign takes in what is known of an instance and reports whether
// anything changed. That an instance is leaving is never taken back; only
// another instance ends it. h.mu is held.
func (h *Host) noteSign(s member.Sign) bool {
	changed := false
	if s.Seen && s.Instance != "" && h.instances[s.Upstream] != s.Instance {
		h.adoptInstance(s)
		changed = true
	}
	key := instanceKey{s.Upstream, s.Instance}
	if _, known := h.departed[key]; s.Leaving && !known {
		h.departed[key] = struct{}{}
		changed = true
	}
	return changed
}

// adoptInstance notes the instance seen. A sign that came before any
// instance was seen is the first seen one's. h.mu is held.
func (h *Host) adoptInstance(s member.Sign) {
	unseen := instanceKey{s.Upstream, ""}
	if _, signed := h.departed[unseen]; signed && h.instances[s.Upstream] == "" {
		delete(h.departed, unseen)
		h.departed[instanceKey{s.Upstream, s.Instance}] = struct{}{}
	}
	h.instances[s.Upstream] = s.Instance
}

func (h *Host) serviceOf(upstreamName string) (string, bool) {
	u, ok := h.View().LocalUpstream(upstreamName)
	return u.Service, ok
}

func (h *Host) target(service, name string) (upstream.Target, bool) {
	u, ok := h.View().LocalUpstream(name)
	if !ok || u.Service != service {
		return upstream.Target{}, false
	}
	return upstream.Target{Name: u.Name, Zone: u.Zone, Addr: u.Addr}, true
}

// probeLoop asks the zone's upstreams for their word. Each upstream is
// asked by one host, which tells the others when it is leaving.
func (h *Host) probeLoop(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for next := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		all := h.probed()
		for i := range min(maxProbes, len(all)) {
			go h.probe(ctx, all[(next+i)%len(all)])
		}
		next += maxProbes
	}
}

// probed gives the upstreams that fall to this host to probe.
func (h *Host) probed() []config.Upstream {
	hosts := h.peers.UpNames(h.self.Host)
	var out []config.Upstream
	probing := map[string]struct{}{}
	for _, svc := range h.View().Services() {
		for _, u := range svc.Local {
			if roster.Rank("probe:"+u.Name, hosts)[0] == h.self.Host {
				out = append(out, u)
				probing[u.Name] = struct{}{}
			}
		}
	}
	h.mu.Lock()
	h.probing = probing
	h.mu.Unlock()
	return out
}

func (h *Host) probe(ctx context.Context, u config.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	w, err := h.client.Probe(ctx, upstream.Target{Name: u.Name, Zone: u.Zone, Addr: u.Addr})
	if err != nil {
		// Own requests decide whether it can be used; a probe does not.
		h.log.Debug().Str("upstream", u.Name).Err(err).Msg("entry: probe failed")
		return
	}
	h.hear(u.Name, w)
}

// noteHosts takes in the platform's host list. An upstream's sign of leaving
// is never taken back by a list that lags: only a new instance ends it.
func (h *Host) noteHosts(hosts []store.HostState) {
	h.mu.Lock()
	changed := false
	for _, s := range hosts {
		old := h.platHost[s.Name]
		h.platHost[s.Name] = s.State
		changed = changed || old != s.State
		if s.State != store.Live {
			if _, local := h.View().LocalUpstream(s.Name); local {
				h.noteSign(member.Sign{Upstream: s.Name, Instance: h.instances[s.Name], Leaving: true})
			}
		}
	}
	h.mu.Unlock()
	if changed {
		h.reconfigure()
		h.tellZone()
	}
}
