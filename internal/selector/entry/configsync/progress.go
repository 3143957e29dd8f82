package configsync

import (
	"context"
	"sync"
	"time"

	"cairndock/internal/pause"
	"cairndock/internal/peer"
	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/peers"
	"cairndock/internal/selector/member"
	"cairndock/internal/selector/roster"
)

const (
	// confirmPause is the time between two looks at a change's progress, and
	// between two heartbeats to a host that lags.
	confirmPause = 100 * time.Millisecond
	// appendTimeout bounds the acceptance of a change, retries at the table
	// included.
	appendTimeout = 10 * time.Second
	// lapseMargin is how long after FreezeAfter a host that can't be asked
	// has certainly frozen itself, as its last proof began before the change
	// was accepted: 5 s in all (docs/design/configuration.md).
	lapseMargin = time.Second
)

// ZoneProgress says whether a zone has a change in force.
type ZoneProgress struct {
	Zone string `json:"zone"`
	// Confirmed says that every live host of the zone has it in force.
	Confirmed bool `json:"confirmed"`
	// Lapsed says that the zone can't be asked, and that each of its hosts
	// either has the change or has certainly frozen itself by now.
	Lapsed bool `json:"lapsed,omitempty"`
	// Lagging names hosts that do not have it yet.
	Lagging []string `json:"lagging,omitempty"`
}

// Applied is the response to a change.
type Applied struct {
	// State is accepted or pending.
	State    string         `json:"state"`
	Revision uint64         `json:"revision"`
	Change   string         `json:"change"`
	Zones    []ZoneProgress `json:"zones"`
}

const (
	// StateAccepted is the state of a change that each zone has in force, or
	// whose hosts that may not have it have frozen themselves.
	StateAccepted = "accepted"
	// StatePending is the state of a change that some zone may not have yet.
	StatePending = "pending"
)

// Apply accepts a change and waits, for the given time at most, until every zone
// has it in force, or can't be asked and has frozen itself.
func (r *Replica) Apply(ctx context.Context, c config.Change, wait time.Duration) (Applied, error) {
	appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if err := r.Platform.Wait(appendCtx); err != nil {
		return Applied{}, err
	}
	state, rev, err := r.ChangeLog.Append(appendCtx, r.View().State(), c)
	if err != nil {
		return Applied{}, err
	}
	accepted := time.Now()
	r.forceTo(ctx, state, c.WithRevision(rev))
	waitCtx, stop := context.WithTimeout(ctx, wait)
	defer stop()
	for {
		a := r.progress(waitCtx, rev, c.ID, accepted)
		if a.State == StateAccepted || !pause.For(waitCtx, confirmPause) {
			return a, nil
		}
	}
}

// forceTo puts the state that an append gave in force here and pushes the
// change, with the revision it was accepted at, to every zone. After a lost
// response the state may end before the change; that comes by the log then.
func (r *Replica) forceTo(ctx context.Context, state *config.State, c config.Change) {
	before := r.View().Revision()
	if state.Revision() <= before {
		return
	}
	if before+1 == c.Revision {
		if err := r.putInForce(ctx, []config.Change{c}); err != nil {
			// The log has it; the next poll reads it from there.
			r.Log.Debug().Err(err).Uint64("revision", c.Revision).Msg("config: accepted change not put in force yet")
		}
	} else {
		r.Adopt(state)
	}
	for _, contact := range r.Peers.OneOfEachZone() {
		go r.push(context.WithoutCancel(ctx), contact, []config.Change{c})
	}
}

// progress says which zones have a revision in force. Accepted is when it
// was accepted, or a later time.
func (r *Replica) progress(ctx context.Context, rev uint64, id string, accepted time.Time) Applied {
	a := Applied{State: StateAccepted, Revision: rev, Change: id}
	lapsed := time.Since(accepted) > FreezeAfter+lapseMargin
	zones := r.KnownZones()
	a.Zones = make([]ZoneProgress, len(zones))
	var asked sync.WaitGroup
	for i, zone := range zones {
		asked.Go(func() { a.Zones[i] = r.askProgress(ctx, zone, rev) })
	}
	asked.Wait()
	for i := range a.Zones {
		p := &a.Zones[i]
		p.Lapsed = lapsed && !p.Confirmed
		if !p.Confirmed && !p.Lapsed {
			a.State = StatePending
		}
	}
	return a
}

// askProgress asks the first host of a zone that answers. A zone none of whose
// hosts can be asked has not confirmed the change.
func (r *Replica) askProgress(ctx context.Context, zone string, rev uint64) ZoneProgress {
	if zone == r.Zone {
		return r.OwnProgress(rev)
	}
	reply, ok := peers.CallFirst[ZoneProgress](ctx, r.Mesh, r.Peers.Contacts(zone, false), peer.KindConfirm, rev)
	if !ok {
		return ZoneProgress{Zone: zone}
	}
	return reply
}

// OwnProgress says whether this host's zone has a revision in force, by what
// its live members reported in heartbeats or in reply to a push.
func (r *Replica) OwnProgress(rev uint64) ZoneProgress {
	p := ZoneProgress{Zone: r.Zone}
	if r.View().Revision() < rev {
		p.Lagging = append(p.Lagging, r.Host)
	}
	now := time.Now()
	for _, m := range r.Roster().Members {
		if m.Host == r.Host || m.State == roster.Dead {
			continue
		}
		other, known := r.Peers.Get(m.Host)
		// A silent host may still serve, by an older configuration.
		if !known || other.Heartbeat.Revision < rev {
			if known && now.Sub(other.LastSeen) > FreezeAfter+member.LostTimeout {
				continue
			}
			p.Lagging = append(p.Lagging, m.Host)
		}
	}
	p.Confirmed = len(p.Lagging) == 0
	if !p.Confirmed {
		r.askLagging(p.Lagging)
	}
	return p
}

// askLagging asks hosts that seem to lag for a heartbeat now.
func (r *Replica) askLagging(hosts []string) {
	for _, host := range hosts {
		p, ok := r.Peers.Get(host)
		if ok && time.Since(p.LastSentAt) > confirmPause {
			r.Peers.Update(func(p *member.Peers) { p.RecordSent(host, time.Now()) })
			go r.SendHeartbeat(context.Background(), p.Contact)
		}
	}
}

// ChangeProgress gives the progress of a change by its id.
func (r *Replica) ChangeProgress(ctx context.Context, id string) (Applied, bool, error) {
	var rev uint64
	var found bool
	err := r.Platform.Do(ctx, func(ctx context.Context) (err error) {
		rev, found, err = r.ChangeLog.ByID(ctx, id)
		return err
	})
	if err != nil || !found {
		return Applied{}, false, err
	}
	// When it was accepted is not known here; now is later.
	return r.progress(ctx, rev, id, time.Now()), true, nil
}
