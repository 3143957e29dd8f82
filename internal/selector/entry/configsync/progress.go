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
	// confirmInterval is the time between two checks of a change's progress, and
	// the minimum time between two heartbeats to a lagging host.
	confirmInterval = 100 * time.Millisecond
	// appendTimeout limits the time for accepting a change, including retries of
	// the table write.
	appendTimeout = 10 * time.Second
	// lapseMargin is the time beyond FreezeAfter at which an unreachable host
	// has certainly frozen itself, because its latest proof began before the
	// change was accepted. Together they are 5 s
	// (docs/design/configuration.md).
	lapseMargin = time.Second
)

// ZoneProgress reports whether a zone has a change in force.
type ZoneProgress struct {
	Zone string `json:"zone"`
	// Confirmed means that every live host of the zone has the change in force.
	Confirmed bool `json:"confirmed"`
	// Lapsed means that the zone has not confirmed the change, and that each of
	// its hosts either has the change or has certainly frozen itself by now.
	Lapsed bool `json:"lapsed,omitempty"`
	// Lagging lists the hosts that do not have the change in force yet.
	Lagging []string `json:"lagging,omitempty"`
}

// Applied is the response to a change.
type Applied struct {
	// State is StateAccepted or StatePending.
	State    string         `json:"state"`
	Revision uint64         `json:"revision"`
	Change   string         `json:"change"`
	Zones    []ZoneProgress `json:"zones"`
}

const (
	// StateAccepted is the state of a change if each zone has it in force or has
	// lapsed (ZoneProgress.Lapsed).
	StateAccepted = "accepted"
	// StatePending is the state of a change that some zone may not have in force
	// yet.
	StatePending = "pending"
)

// Apply accepts a change and waits, for at most the given time, until every zone
// has it in force or has lapsed. Errors are those of the append to the log.
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
	r.adoptAppended(ctx, state, c.WithRevision(rev))
	waitCtx, stop := context.WithTimeout(ctx, wait)
	defer stop()
	for {
		a := r.progress(waitCtx, rev, c.ID, accepted)
		if a.State == StateAccepted || !pause.For(waitCtx, confirmInterval) {
			return a, nil
		}
	}
}

// adoptAppended puts the state that an append returned in force on this host and
// pushes the change, with its revision, to one host of every other zone. If the
// response of the append was lost, the state may not include the change; the
// host then reads the change from the log.
func (r *Replica) adoptAppended(ctx context.Context, state *config.State, c config.Change) {
	before := r.View().Revision()
	if state.Revision() <= before {
		return
	}
	if before+1 == c.Revision {
		if err := r.putInForce(ctx, []config.Change{c}); err != nil {
			// The next poll reads the change from the log.
			r.Log.Debug().Err(err).Uint64("revision", c.Revision).Msg("config: accepted change is not in force yet")
		}
	} else {
		r.Adopt(state)
	}
	for _, contact := range r.Peers.OneOfEachZone() {
		go r.push(context.WithoutCancel(ctx), contact, []config.Change{c})
	}
}

// progress queries all zones and reports which of them have a revision in force.
// The argument accepted is the time at which the change was accepted, or a later
// time.
func (r *Replica) progress(ctx context.Context, rev uint64, id string, accepted time.Time) Applied {
	a := Applied{State: StateAccepted, Revision: rev, Change: id}
	lapsed := time.Since(accepted) > FreezeAfter+lapseMargin
	zones := r.KnownZones()
	a.Zones = make([]ZoneProgress, len(zones))
	var queries sync.WaitGroup
	for i, zone := range zones {
		queries.Go(func() { a.Zones[i] = r.zoneProgress(ctx, zone, rev) })
	}
	queries.Wait()
	for i := range a.Zones {
		p := &a.Zones[i]
		p.Lapsed = lapsed && !p.Confirmed
		if !p.Confirmed && !p.Lapsed {
			a.State = StatePending
		}
	}
	return a
}

// zoneProgress queries the hosts of a zone in turn until one replies. If none
// replies, the zone has not confirmed the change.
func (r *Replica) zoneProgress(ctx context.Context, zone string, rev uint64) ZoneProgress {
	if zone == r.Zone {
		return r.OwnProgress(rev)
	}
	reply, ok := peers.CallFirst[ZoneProgress](ctx, r.Mesh, r.Peers.Contacts(zone, false), peer.KindConfirm, rev)
	if !ok {
		return ZoneProgress{Zone: zone}
	}
	return reply
}

// OwnProgress reports whether this host's zone has a revision in force. It uses
// the revisions that the live members reported in heartbeats or in replies to a
// push, and requests heartbeats from members that seem to lag.
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
		// A host that was silent for a short time may still serve with an older
		// configuration.
		if !known || other.Heartbeat.Revision < rev {
			if known && now.Sub(other.LastSeen) > FreezeAfter+member.LostTimeout {
				continue
			}
			p.Lagging = append(p.Lagging, m.Host)
		}
	}
	p.Confirmed = len(p.Lagging) == 0
	if !p.Confirmed {
		r.queryLagging(p.Lagging)
	}
	return p
}

// queryLagging exchanges a heartbeat with each host that seems to lag, unless one
// was sent to it within confirmInterval.
func (r *Replica) queryLagging(hosts []string) {
	for _, host := range hosts {
		p, ok := r.Peers.Get(host)
		if ok && time.Since(p.LastSentAt) > confirmInterval {
			r.Peers.Update(func(p *member.Peers) { p.RecordSent(host, time.Now()) })
			go r.SendHeartbeat(context.Background(), p.Contact)
		}
	}
}

// ChangeProgress returns the progress of the change with the given ID, and false
// if the log has no such change.
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
	// The time of acceptance is not known here. The current time is later, which
	// progress permits.
	return r.progress(ctx, rev, id, time.Now()), true, nil
}
