package rosters

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/selector/member"
	"cairndock/internal/selector/roster"
	"cairndock/internal/selector/store"
)

const (
	// unlistedAfter is the silence after which a member is dead that this
	// host never saw in the platform's list. Chosen, not measured.
	unlistedAfter = time.Minute
	// deadMargin is how much longer than the longest deadline a gone member
	// stays in the roster. Chosen, not measured.
	deadMargin = 2 * time.Second
)

// lookAtHosts reads the platform's host list and takes one member out of the
// roster that it calls gone and that is silent as well.
func (m *Membership) lookAtHosts(ctx context.Context) error {
	var hosts []store.HostState
	err := m.Platform.Do(ctx, func(ctx context.Context) (err error) {
		hosts, err = m.HostList.Hosts(ctx)
		return err
	})
	if err != nil {
		return eris.Wrap(err, "read host list")
	}
	m.Upstreams.MergeList(hosts)
	listed := map[string]store.State{}
	for _, s := range hosts {
		listed[s.Name] = s.State
	}
	r, version, err := m.readRoster(ctx)
	if err != nil {
		return err
	}
	for _, other := range r.Members {
		if next, ok := m.withoutDead(r, other, listed); ok {
			return m.writeRoster(ctx, next, version)
		}
	}
	return nil
}

// withoutDead gives the roster that follows when a member is dead, or when all
// its requests must have ended since, and whether either is so.
func (m *Membership) withoutDead(r roster.Roster, other roster.Member, listed map[string]store.State) (roster.Roster, bool) {
	if other.Host == m.Host {
		return r, false
	}
	longest := m.Services.MaxTimeout()
	m.mu.Lock()
	defer m.mu.Unlock()
	if other.State == roster.Gone {
		since, seen := m.goneAt[other.Host]
		if !seen || time.Since(since) < longest+deadMargin {
			return r, false
		}
		delete(m.goneAt, other.Host)
		return r.Without(other.Host), true
	}
	if !m.isGone(other.Host, listed) {
		return r, false
	}
	return r.WithState(other.Host, roster.Gone), true
}

// isGone says whether a member is dead: the platform's list calls it gone or
// names it no more, and it has been silent for member.LostAfter. One that the
// list never named may just have started, and gets unlistedAfter. Silence alone
// proves nothing (docs/design/slots.md).
func (m *Membership) isGone(host string, listed map[string]store.State) bool {
	silence := member.LostAfter
	state, named := listed[host]
	if !named && !m.Upstreams.Listed(host) {
		silence = unlistedAfter
	}
	if named && state != store.Gone {
		return false
	}
	p, known := m.Peers.Get(host)
	return !known || time.Since(p.HeardAt) > silence
}
