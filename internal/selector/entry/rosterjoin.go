package entry

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/peer"
	"cairndock/internal/selector/roster"
	"cairndock/internal/selector/store"
)

// memberOf reports whether this host holds slots by a roster; h.mu is held.
func (h *Host) memberOf(r roster.Roster) bool {
	m, ok := r.Member(h.self.Host)
	return ok && m.Incarnation == h.holder.Incarnation() && m.State == roster.Active
}

// rejoin drops every slot and joins again: the roster says that this host
// died, so that its slots belong to others.
func (h *Host) rejoin() {
	h.log.Warn().Msg("roster: was taken for dead, joining again")
	h.mu.Lock()
	defer h.mu.Unlock()
	cur := h.holder.Current()
	h.holder = roster.NewHolder(h.self.Host, newIncarnation(), h.self.Zone)
	h.holder.See(cur, time.Now())
	h.joined = false
}

// join writes this host into its zone's roster.
func (h *Host) join(ctx context.Context) error {
	r, version, err := h.readRoster(ctx)
	if err != nil {
		return err
	}
	old, known := r.Member(h.self.Host)
	h.mu.Lock()
	incarnation := h.holder.Incarnation()
	h.mu.Unlock()
	if known && old.Incarnation == incarnation && old.State == roster.Active {
		return h.markJoined(false)
	}
	me := roster.Member{
		Host: h.self.Host, Incarnation: incarnation, PeerAddr: h.self.PeerAddr,
		CallerAddr: h.self.CallerAddr, State: roster.Active,
	}
	if err := h.writeRoster(ctx, r.WithMember(me), version); err != nil {
		return err
	}
	return h.markJoined(known)
}

// markJoined notes the membership. Where an earlier incarnation was a
// member, its requests may be outstanding still.
func (h *Host) markJoined(replaced bool) error {
	h.mu.Lock()
	h.joined = true
	if replaced {
		h.holder.Replaced(time.Now())
	}
	h.mu.Unlock()
	h.reconfigure()
	h.turnNow()
	return nil
}

// writeRoster writes the zone's next roster. When its answer is lost, the
// next turn reads what became of it.
func (h *Host) writeRoster(ctx context.Context, r roster.Roster, version int64) error {
	body, err := peer.Encode(r)
	if err != nil {
		return err
	}
	err = h.platform.Do(ctx, func(ctx context.Context) error {
		return h.opts.Table.Transact(ctx, []store.Write{{Key: rosterKey(r.Zone), IfVersion: version, Body: body}})
	})
	if err != nil {
		return eris.Wrap(err, "write roster")
	}
	h.see(r)
	h.tellZone()
	return nil
}
