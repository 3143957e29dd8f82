package rosters

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/pause"
	"cairndock/internal/peer"
	"cairndock/internal/selector/entry/platformcalls"
	"cairndock/internal/selector/member"
	"cairndock/internal/selector/roster"
	"cairndock/internal/selector/store"
)

// rejoin drops every slot and makes the host join again, as another incarnation:
// by the roster this one died, so that its slots belong to others.
func (m *Membership) rejoin() {
	m.Log.Warn().Msg("roster: was taken for dead, joining again")
	m.mu.Lock()
	defer m.mu.Unlock()
	cur := m.holder.Current()
	m.holder = roster.NewHolder(m.Host, NewIncarnation(), m.Zone)
	m.holder.Observe(cur, time.Now())
	m.joined = false
}

// join writes this host into its zone's roster.
func (m *Membership) join(ctx context.Context) error {
	r, version, err := m.readRoster(ctx)
	if err != nil {
		return err
	}
	old, known := r.Member(m.Host)
	m.mu.Lock()
	incarnation := m.holder.Incarnation()
	m.mu.Unlock()
	if known && old.Incarnation == incarnation && old.State == roster.Active {
		m.markJoined(false)
		return nil
	}
	self := m.Peers.Self()
	me := roster.Member{
		Host: m.Host, Incarnation: incarnation, PeerAddr: self.PeerAddr,
		ClientAddr: self.ClientAddr, State: roster.Active,
	}
	if err := m.writeRoster(ctx, r.WithMember(me), version); err != nil {
		return err
	}
	m.markJoined(known)
	return nil
}

// markJoined notes the membership. Where an earlier incarnation was a
// member, its requests may be outstanding still.
func (m *Membership) markJoined(replaced bool) {
	m.mu.Lock()
	m.joined = true
	if replaced {
		m.holder.Replaced(time.Now())
	}
	m.mu.Unlock()
	m.Reconfigure()
	m.NewEpoch()
}

// writeRoster writes the zone's next roster. When the response is lost, the
// next tick reads what became of it.
func (m *Membership) writeRoster(ctx context.Context, r roster.Roster, version int64) error {
	body, err := peer.Encode(r)
	if err != nil {
		return err
	}
	err = m.Platform.Do(ctx, func(ctx context.Context) error {
		return m.Table.Transact(ctx, []store.Write{{Key: rosterKey(r.Zone), IfVersion: version, Body: body}})
	})
	if err != nil {
		return eris.Wrap(err, "write roster")
	}
	m.Merge(r)
	m.NotifyZone()
	return nil
}

const (
	// leaveTries is how often a host tries to write its own leaving, as other
	// hosts may write the roster at the same time.
	leaveTries = 5
	// leavePause is the pause between two tries: one tick of the host's loop.
	leavePause = 250 * time.Millisecond
)

// Leave marks this host as leaving, so that its slots pass to others.
func (m *Membership) Leave(ctx context.Context) {
	m.change(ctx, func(r roster.Roster) roster.Roster { return r.WithState(m.Host, roster.Leaving) })
}

// Remove takes this host, which has nothing outstanding, off the roster.
func (m *Membership) Remove(ctx context.Context) {
	m.change(ctx, func(r roster.Roster) roster.Roster { return r.Without(m.Host) })
}

// change writes this host's own change of the roster, a few times when others
// write at the same time.
func (m *Membership) change(ctx context.Context, next func(roster.Roster) roster.Roster) {
	for range leaveTries {
		r, version, err := m.readRoster(ctx)
		if err == nil {
			if !m.isMember(r) {
				return
			}
			err = m.writeRoster(ctx, next(r), version)
		}
		if err == nil {
			return
		}
		m.Log.Warn().Err(err).Msg("roster: could not leave")
		if !pause.For(ctx, leavePause) {
			return
		}
	}
}

// isMember reports whether this incarnation of the host is in a roster.
func (m *Membership) isMember(r roster.Roster) bool {
	own, ok := r.Member(m.Host)
	m.mu.Lock()
	defer m.mu.Unlock()
	return ok && own.Incarnation == m.holder.Incarnation()
}

const (
	// unlistedAfter is the silence after which a member is dead that this
	// host never saw in the platform's list.
	unlistedAfter = time.Minute
	// deadMargin is how much longer than the longest deadline a gone member
	// stays in the roster.
	deadMargin = 2 * time.Second
)

// lookAtHosts reads the platform's host list and takes one member out of the
// roster that it calls gone and that is silent as well.
func (m *Membership) lookAtHosts(ctx context.Context) error {
	hosts, err := platformcalls.Get(ctx, m.Platform, m.HostList.Hosts)
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
	if other.State == roster.Dead {
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
	return r.WithState(other.Host, roster.Dead), true
}

// isGone says whether a member is dead: the platform's list calls it gone or
// names it no more, and it has been silent for member.LostAfter. One that the
// list never named may just have started, and gets unlistedAfter. Silence alone
// proves nothing (docs/design/slots.md).
func (m *Membership) isGone(host string, listed map[string]store.State) bool {
	silence := member.LostTimeout
	state, named := listed[host]
	if !named && !m.Upstreams.Listed(host) {
		silence = unlistedAfter
	}
	if named && state != store.Gone {
		return false
	}
	p, known := m.Peers.Get(host)
	return !known || time.Since(p.LastSeen) > silence
}
