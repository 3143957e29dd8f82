package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"cairndock/internal/pause"
	"cairndock/internal/peer"
	"cairndock/internal/selector/config"
	"cairndock/internal/selector/member"
	"cairndock/internal/selector/roster"
)

const (
	// confirmPause is the time between two looks at a change's progress.
	confirmPause = 100 * time.Millisecond
	// appendTimeout bounds the acceptance of a change.
	appendTimeout = 10 * time.Second
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

// Applied is the answer to a change.
type Applied struct {
	// State is accepted or pending.
	State    string         `json:"state"`
	Revision uint64         `json:"revision"`
	Change   string         `json:"change"`
	Zones    []ZoneProgress `json:"zones"`
}

// The states of Applied.
const (
	StateAccepted = "accepted"
	StatePending  = "pending"
)

// Apply accepts a change and waits, for the given time at most, for every
// zone to have it in force.
func (h *Host) Apply(ctx context.Context, c config.Change, wait time.Duration) (Applied, error) {
	appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if err := h.platform.Wait(appendCtx); err != nil {
		return Applied{}, err
	}
	state, rev, err := h.configLog.Append(appendCtx, h.View().State(), c)
	if err != nil {
		return Applied{}, err
	}
	accepted := time.Now()
	h.forceTo(ctx, state, c.WithRevision(rev))
	waitCtx, stop := context.WithTimeout(ctx, wait)
	defer stop()
	return h.await(waitCtx, rev, c.ID, accepted), nil
}

// forceTo puts the state that an append gave in force here and pushes the
// change, with the revision it was accepted at, to every zone. After a lost
// answer the state may end before the change; that comes by the log then.
func (h *Host) forceTo(ctx context.Context, state *config.State, c config.Change) {
	before := h.View().Revision()
	if state.Revision() <= before {
		return
	}
	if before+1 == c.Revision {
		_ = h.putInForce(ctx, []config.Change{c})
	} else {
		h.adoptState(state)
	}
	for _, contact := range h.peers.OneOfEachZone() {
		go h.push(context.WithoutCancel(ctx), contact, []config.Change{c})
	}
}

// await asks every zone until each has the revision in force, or can't be
// asked and has frozen itself.
func (h *Host) await(ctx context.Context, rev uint64, id string, accepted time.Time) Applied {
	for {
		a := h.Progress(ctx, rev, id, accepted)
		if a.State == StateAccepted || !pause.For(ctx, confirmPause) {
			return a
		}
	}
}

// Progress says which zones have a revision in force. Accepted is when it
// was accepted, or a later time.
func (h *Host) Progress(ctx context.Context, rev uint64, id string, accepted time.Time) Applied {
	a := Applied{State: StateAccepted, Revision: rev, Change: id}
	lapsed := time.Since(accepted) > FreezeAfter+time.Second
	zones := h.knownZones()
	a.Zones = make([]ZoneProgress, len(zones))
	var asked sync.WaitGroup
	for i, zone := range zones {
		asked.Go(func() { a.Zones[i] = h.zoneProgress(ctx, zone, rev) })
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

// knownZones are the configured zones and those with hosts.
func (h *Host) knownZones() []string {
	zones := []string{h.self.Zone}
	for _, z := range h.View().Zones() {
		zones = append(zones, z.Name)
	}
	zones = append(zones, h.peers.Zones()...)
	slices.Sort(zones)
	return slices.Compact(zones)
}

func (h *Host) zoneProgress(ctx context.Context, zone string, rev uint64) ZoneProgress {
	if zone == h.self.Zone {
		return h.ownProgress(rev)
	}
	for _, c := range h.peers.Contacts(zone, false) {
		callCtx, cancel := context.WithTimeout(ctx, beatTimeout)
		reply, err := peer.Call[ZoneProgress](callCtx, h.mesh, c.PeerAddr, peer.KindConfirm, rev)
		cancel()
		if err == nil {
			return reply
		}
	}
	return ZoneProgress{Zone: zone}
}

// ownProgress looks at the zone's live members, as they said in their last
// heartbeats or in reply to a push.
func (h *Host) ownProgress(rev uint64) ZoneProgress {
	p := ZoneProgress{Zone: h.self.Zone}
	if h.View().Revision() < rev {
		p.Lagging = append(p.Lagging, h.self.Host)
	}
	now := time.Now()
	for _, m := range h.currentRoster().Members {
		if m.Host == h.self.Host || m.State == roster.Gone {
			continue
		}
		other, known := h.peers.Get(m.Host)
		// A silent host may still serve, by an older configuration.
		if !known || other.Beat.Revision < rev {
			if known && now.Sub(other.HeardAt) > FreezeAfter+member.LostAfter {
				continue
			}
			p.Lagging = append(p.Lagging, m.Host)
		}
	}
	p.Confirmed = len(p.Lagging) == 0
	if !p.Confirmed {
		h.askLagging(p.Lagging)
	}
	return p
}

// askLagging asks hosts that seem to lag for a heartbeat now.
func (h *Host) askLagging(hosts []string) {
	for _, host := range hosts {
		p, ok := h.peers.Get(host)
		if ok && time.Since(p.AskedAt) > confirmPause {
			h.peers.Update(func(p *member.Peers) { p.Asking(host, time.Now()) })
			go h.beatOne(context.Background(), p.Contact)
		}
	}
}

// ChangeProgress gives the progress of a change by its id.
func (h *Host) ChangeProgress(ctx context.Context, id string) (Applied, bool, error) {
	var rev uint64
	var found bool
	err := h.platform.Do(ctx, func(ctx context.Context) (err error) {
		rev, found, err = h.configLog.ByID(ctx, id)
		return err
	})
	if err != nil || !found {
		return Applied{}, false, err
	}
	// When it was accepted is not known here; now is later.
	return h.Progress(ctx, rev, id, time.Now()), true, nil
}
