package tickets

import (
	"context"
	"errors"
	"slices"
	"time"

	"cairndock/internal/peer"
	"cairndock/internal/selector/entry/peers"
	"cairndock/internal/selector/member"
	"cairndock/internal/selector/ticket"
)

// HandOver seals this host's tickets and gives them to a successor, the nearest
// host that takes them, and reports whether one did. Only the first host asked
// may get a copy that dispatches: whether it took it may never be known.
func (i *Issuer) HandOver(ctx context.Context) bool {
	i.mu.Lock()
	i.own.Seal()
	i.mu.Unlock()
	first := true
	for _, to := range i.Peers.NearestContacts() {
		i.mu.Lock()
		all := []ticket.Handover{i.own.Handover(first)}
		for _, s := range i.adopted {
			all = append(all, s.Handover(first))
		}
		i.mu.Unlock()
		_, err := peers.Call[bool](ctx, i.Mesh, to, peer.KindHandover, all)
		if err == nil {
			i.Log.Info().Str("successor", to.Host).Int("tickets", len(all[0].Records)).Msg("ticket: handed over")
			return true
		}
		i.Log.Debug().Str("successor", to.Host).Err(err).Msg("ticket: handing over failed, asking the next host")
		// After a message that was never sent the next host is still the first.
		first = first && errors.Is(err, peer.ErrNotSent)
	}
	return false
}

// Adopt makes this host the successor of a stopped host, for the tickets of its
// stores.
func (i *Issuer) Adopt(stores []ticket.Handover) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, s := range stores {
		// A repeated handover must not undo what was dispatched since.
		if _, known := i.adopted[s.Incarnation]; !known {
			i.adopted[s.Incarnation] = adoptedStore{ticket.FromHandover(s), time.Now()}
			i.handovers = append(i.handovers[:len(i.handovers):len(i.handovers)],
				member.Successor{Incarnation: s.Incarnation, Host: i.Host})
		}
	}
}

// Successors gives the incarnations whose successor this host is, for
// heartbeats.
func (i *Issuer) Successors() []member.Successor {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.handovers
}

// ForgetExpired drops the tickets of stopped hosts once all have expired.
func (i *Issuer) ForgetExpired() {
	now := time.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	for incarnation, store := range i.adopted {
		if now.Sub(store.at) < 2*ticket.Lifetime {
			continue
		}
		delete(i.adopted, incarnation)
		// Heartbeats on their way may still read the old slice.
		i.handovers = slices.DeleteFunc(slices.Clone(i.handovers), func(o member.Successor) bool { return o.Incarnation == incarnation })
	}
}
