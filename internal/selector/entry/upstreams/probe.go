package upstreams

import (
	"context"
	"time"

	"cairndock/internal/selector/config"
	"cairndock/internal/selector/roster"
	"cairndock/internal/selector/upstream"
)

const (
	// probeInterval is the time between two probes of an upstream. Traffic
	// reports sooner; this bounds an idle upstream's. Chosen, not measured.
	probeInterval = 2 * time.Second
	// probeTimeout bounds one probe; chosen, not measured.
	probeTimeout = time.Second
	// maxProbes bounds the probes of one interval, whatever falls to a host.
	// Chosen, not measured.
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
