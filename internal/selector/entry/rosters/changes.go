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

// rejoin drops all slots and makes the host join again as a new incarnation. It
// is called when the current incarnation is no longer an active member of the
// roster and its slots therefore belong to other hosts.
func (m *Membership) rejoin() {
	m.Log.Warn().Msg("roster: host is no longer an active member; rejoining")
	m.mu.Lock()
	defer m.mu.Unlock()
	cur := m.holder.Current()
	m.holder = roster.NewHolder(m.Host, NewIncarnation(), m.Zone)
	m.holder.Observe(cur, time.Now())
	m.joined = false
}

// join adds this host to its zone's roster.
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

// markJoined records the membership. The argument replaced means that an
// earlier incarnation was a member, whose requests may still be outstanding.
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

// writeRoster writes the zone's next roster and merges it. If the response is
// lost, the next tick reads whether the write succeeded.
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
	// maxLeaveAttempts limits the attempts to write a host's own departure.
	// Attempts can fail because other hosts write the roster concurrently.
	maxLeaveAttempts = 5
	// leaveRetryDelay is the time between two attempts: one tick of the host's
	// loop.
	leaveRetryDelay = 250 * time.Millisecond
)

// Leave marks this host as leaving in the roster, which assigns its slots to
// other hosts.
func (m *Membership) Leave(ctx context.Context) {
	m.change(ctx, func(r roster.Roster) roster.Roster { return r.WithState(m.Host, roster.Leaving) })
}

// Remove removes this host from the roster. The host must have no outstanding
// requests.
func (m *Membership) Remove(ctx context.Context) {
	m.change(ctx, func(r roster.Roster) roster.Roster { return r.Without(m.Host) })
}

// change applies next to the roster and writes the result. It retries up to
// maxLeaveAttempts times, because other hosts may write concurrently.
func (m *Membership) change(ctx context.Context, next func(roster.Roster) roster.Roster) {
	for range maxLeaveAttempts {
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
		m.Log.Warn().Err(err).Msg("roster: failed to write own departure")
		if !pause.For(ctx, leaveRetryDelay) {
			return
		}
	}
}

// isMember reports whether a roster contains this incarnation of the host.
func (m *Membership) isMember(r roster.Roster) bool {
	own, ok := r.Member(m.Host)
	m.mu.Lock()
	defer m.mu.Unlock()
	return ok && own.Incarnation == m.holder.Incarnation()
}

const (
	// unlistedTimeout is the silence after which a member counts as dead if
	// this host has never seen it in the platform's list.
	unlistedTimeout = time.Minute
	// deadMargin is the time beyond the longest request deadline for which a
	// dead member stays in the roster.
	deadMargin = 2 * time.Second
)

// checkHostList reads the platform's host list and writes at most one change to
// the roster: it marks a member as dead, or removes a member that has been dead
// for long enough.
func (m *Membership) checkHostList(ctx context.Context) error {
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

// withoutDead returns the next roster and true if a member is newly dead, or if
// it has been dead long enough that all its requests must have ended.
// Otherwise it returns r and false.
func (m *Membership) withoutDead(r roster.Roster, other roster.Member, listed map[string]store.State) (roster.Roster, bool) {
	if other.Host == m.Host {
		return r, false
	}
	longest := m.Services.MaxTimeout()
	m.mu.Lock()
	defer m.mu.Unlock()
	if other.State == roster.Dead {
		since, seen := m.deadSince[other.Host]
		if !seen || time.Since(since) < longest+deadMargin {
			return r, false
		}
		delete(m.deadSince, other.Host)
		return r.Without(other.Host), true
	}
	if !m.isDead(other.Host, listed) {
		return r, false
	}
	return r.WithState(other.Host, roster.Dead), true
}

// isDead reports whether a member is dead: the platform lists it as stopped or
// no longer lists it, and it has been silent for member.LostTimeout. For a
// member that was never listed the limit is unlistedTimeout, because that
// member may just have started. A member that is not in the table of peers counts
// as silent. Silence alone does not prove that a member is dead
// (docs/design/slots.md).
func (m *Membership) isDead(host string, listed map[string]store.State) bool {
	maxSilence := member.LostTimeout
	state, isListed := listed[host]
	if !isListed && !m.Upstreams.Listed(host) {
		maxSilence = unlistedTimeout
	}
	if isListed && state != store.Gone {
		return false
	}
	p, known := m.Peers.Get(host)
	return !known || time.Since(p.LastSeen) > maxSilence
}
