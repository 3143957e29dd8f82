package rosters

import (
	"context"
	"time"

	"cairndock/internal/pause"
	"cairndock/internal/selector/roster"
)

const (
	// leaveTries is how often a host tries to write its own leaving, as other
	// hosts may write the roster at the same time. Chosen, not measured.
	leaveTries = 5
	// leavePause is the pause between two tries: one tick of the host's loop.
	// Chosen, not measured.
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
			if !m.in(r) {
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

// in reports whether this life of the host is in a roster.
func (m *Membership) in(r roster.Roster) bool {
	own, ok := r.Member(m.Host)
	m.mu.Lock()
	defer m.mu.Unlock()
	return ok && own.Incarnation == m.holder.Incarnation()
}
