package entry

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/selector/member"
	"cairndock/internal/selector/roster"
	"cairndock/internal/selector/store"
)

// lookAtHosts reads the platform's host list and takes members out of the
// roster that it says are gone and that are silent as well.
func (h *Host) lookAtHosts(ctx context.Context) error {
	var hosts []store.HostState
	err := h.platform.Do(ctx, func(ctx context.Context) (err error) {
		hosts, err = h.opts.Hosts.Hosts(ctx)
		return err
	})
	if err != nil {
		return eris.Wrap(err, "read host list")
	}
	h.upstreams.MergeList(hosts)
	listed := map[string]store.State{}
	for _, s := range hosts {
		listed[s.Name] = s.State
	}
	r, version, err := h.readRoster(ctx)
	if err != nil {
		return err
	}
	for _, m := range r.Members {
		if next, ok := h.withoutDead(r, m, listed); ok {
			return h.writeRoster(ctx, next, version)
		}
	}
	return nil
}

// withoutDead gives the roster that follows when a member is gone.
func (h *Host) withoutDead(r roster.Roster, m roster.Member, listed map[string]store.State) (roster.Roster, bool) {
	if m.Host == h.self.Host {
		return r, false
	}
	longest := h.services.MaxTimeout()
	h.mu.Lock()
	defer h.mu.Unlock()
	if m.State == roster.Gone {
		since, seen := h.goneAt[m.Host]
		if !seen || time.Since(since) < longest+deadMargin {
			return r, false
		}
		delete(h.goneAt, m.Host)
		return r.Without(m.Host), true
	}
	if !h.isGone(m.Host, listed) {
		return r, false
	}
	return r.WithState(m.Host, roster.Gone), true
}

// isGone puts silence and the host list together. The list may name the dead
// or drop them; one that it does not name yet was just started. h.mu is held.
func (h *Host) isGone(host string, listed map[string]store.State) bool {
	silence := member.LostAfter
	state, named := listed[host]
	if !named && !h.upstreams.Listed(host) {
		silence = unlistedAfter
	}
	if named && state != store.Gone {
		return false
	}
	p, known := h.peers.Get(host)
	return !known || time.Since(p.HeardAt) > silence
}
