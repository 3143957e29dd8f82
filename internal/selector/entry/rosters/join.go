package rosters

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/peer"
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
		return m.markJoined(false)
	}
	self := m.Peers.Self()
	me := roster.Member{
		Host: m.Host, Incarnation: incarnation, PeerAddr: self.PeerAddr,
		ClientAddr: self.ClientAddr, State: roster.Active,
	}
	if err := m.writeRoster(ctx, r.WithMember(me), version); err != nil {
		return err
	}
	return m.markJoined(known)
}

// markJoined notes the membership. Where an earlier incarnation was a
// member, its requests may be outstanding still.
func (m *Membership) markJoined(replaced bool) error {
	m.mu.Lock()
	m.joined = true
	if replaced {
		m.holder.Replaced(time.Now())
	}
	m.mu.Unlock()
	m.Reconfigure()
	m.NewEpoch()
	return nil
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
