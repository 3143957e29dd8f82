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

// HandOver seals the ticket stores of this host, sends them to the nearest host that
// accepts them, the successor, and reports whether a host accepted them. Only the
// first host that may have received the stores gets a copy that may dispatch
// requests, because this host may never learn whether that host accepted it.
func (i *Issuer) HandOver(ctx context.Context) bool {
	i.mu.Lock()
	i.own.Seal()
	i.mu.Unlock()
	mayDispatch := true
	for _, to := range i.Peers.NearestContacts() {
		i.mu.Lock()
		stores := []ticket.Handover{i.own.Handover(mayDispatch)}
		for _, s := range i.adopted {
			stores = append(stores, s.Handover(mayDispatch))
		}
		i.mu.Unlock()
		_, err := peers.Call[bool](ctx, i.Mesh, to, peer.KindHandover, stores)
		if err == nil {
			i.Log.Info().Str("successor", to.Host).Int("tickets", len(stores[0].Records)).Msg("ticket: handed over")
			return true
		}
		i.Log.Debug().Str("successor", to.Host).Err(err).Msg("ticket: handover failed, trying the next host")
		// If the message was never sent, the next host is still the first to
		// receive the stores.
		mayDispatch = mayDispatch && errors.Is(err, peer.ErrNotSent)
	}
	return false
}

// Adopt makes this host the successor of a stopped host: it takes over the given
// ticket stores.
func (i *Issuer) Adopt(stores []ticket.Handover) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, s := range stores {
		// A repeated handover must not replace a store that has been used since
		// the first one.
		if _, known := i.adopted[s.Incarnation]; !known {
			i.adopted[s.Incarnation] = adoptedStore{ticket.FromHandover(s), time.Now()}
			i.handovers = append(i.handovers[:len(i.handovers):len(i.handovers)],
				member.Successor{Incarnation: s.Incarnation, Host: i.Host})
		}
	}
}

// Successors returns the incarnations whose successor this host is. Heartbeats send
// the list to other hosts.
func (i *Issuer) Successors() []member.Successor {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.handovers
}

// ForgetExpired removes the ticket stores of stopped hosts. A store is removed two
// ticket lifetimes after its adoption, when all of its tickets have expired.
func (i *Issuer) ForgetExpired() {
	now := time.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	for incarnation, store := range i.adopted {
		if now.Sub(store.adoptedAt) < 2*ticket.Lifetime {
			continue
		}
		delete(i.adopted, incarnation)
		// Heartbeats that are being sent may still read the old slice.
		i.handovers = slices.DeleteFunc(slices.Clone(i.handovers), func(o member.Successor) bool { return o.Incarnation == incarnation })
	}
}
