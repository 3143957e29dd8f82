package entry

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/pause"
	"cairndock/internal/peer"
	"cairndock/internal/selector/entry/peers"
	"cairndock/internal/selector/entry/platformcalls"
	"cairndock/internal/selector/member"
	"cairndock/internal/selector/roster"
	"cairndock/internal/selector/store"
)

const (
	partitionRoster = "roster"
	// rosterInterval is the time between two looks of a poller at the
	// zone's roster.
	rosterInterval = time.Second
	// HostsInterval is the time between two looks of a poller at the
	// platform's host list.
	HostsInterval = 2 * time.Second
	// unlistedAfter is the silence after which a member is dead that this
	// host never saw in the list.
	unlistedAfter = time.Minute
	// deadMargin is how much longer than the longest deadline a gone member
	// stays in the roster.
	deadMargin = 2 * time.Second
	// pollers is how many hosts of a zone look at the platform for all.
	pollers       = 2
	maxRosterRows = 1000
	// memberBytes is about the size of one member in a roster's row.
	memberBytes = 110
	// discoverInterval is the time between the first two looks at all zones'
	// rosters while some zone can't be reached. It doubles up to
	// maxDiscover, so that a zone that is gone for long costs little.
	discoverInterval = 5 * time.Second
	maxDiscover      = 5 * time.Minute
	// rosterBytes is what a poller may spend on reading the roster, in
	// bytes per second: a large one is read less often. Its writer tells
	// the zone of each new epoch anyway.
	rosterBytes = 2000
)

// rosterLoop joins the zone's roster, follows it and takes dead members out.
func (h *Host) rosterLoop(ctx context.Context) {
	retry := platformcalls.NewBackoff()
	var looked looks
	for {
		err := h.rosterTurn(ctx, &looked)
		wait := max(rosterInterval, time.Duration(looked.bytes)*time.Second/rosterBytes)
		if err != nil {
			wait = retry.NextBackOff()
			h.log.Debug().Err(err).Msg("roster: turn failed")
		} else {
			retry.Reset()
		}
		if !pause.For(ctx, wait) {
			return
		}
	}
}

// looks is when the roster loop last read the host list and all rosters, and
// what it found.
type looks struct {
	hosts, zones time.Time
	// every is the time until the next look at all rosters.
	every time.Duration
	// bytes is the size of the zone's roster.
	bytes int
}

func (h *Host) rosterTurn(ctx context.Context, looked *looks) error {
	if !h.hasJoined() {
		return h.join(ctx)
	}
	if err := h.discover(ctx, looked); err != nil {
		return err
	}
	if !h.isPoller() {
		return nil
	}
	r, _, err := h.readRoster(ctx)
	if err != nil {
		return err
	}
	looked.bytes = memberBytes * len(r.Members)
	if time.Since(looked.hosts) < HostsInterval {
		return nil
	}
	looked.hosts = time.Now()
	return h.lookAtHosts(ctx)
}

// discover learns the hosts of other zones from their rosters, as long as
// some configured zone has no host that answers. Heartbeats name the rest.
func (h *Host) discover(ctx context.Context, looked *looks) error {
	if !h.missesZone() {
		looked.every = 0
		return nil
	}
	if time.Since(looked.zones) < looked.every {
		return nil
	}
	looked.zones = time.Now()
	looked.every = max(discoverInterval, min(2*looked.every, maxDiscover))
	var rows []store.Row
	err := h.platform.Do(ctx, func(ctx context.Context) (err error) {
		rows, err = h.opts.Table.List(ctx, partitionRoster, "", maxRosterRows)
		return err
	})
	if err != nil {
		return eris.Wrap(err, "read rosters")
	}
	for _, row := range rows {
		r, err := peer.Decode[roster.Roster](row.Body)
		if err != nil {
			return err
		}
		h.learnRoster(r)
	}
	return nil
}

func (h *Host) missesZone() bool {
	for _, zone := range h.config.KnownZones() {
		if zone != h.self.Zone && len(h.peers.Contacts(zone, false)) == 0 {
			return true
		}
	}
	return false
}

// learnRoster notes the hosts of a roster.
func (h *Host) learnRoster(r roster.Roster) {
	var contacts []member.Contact
	for _, m := range r.Members {
		if m.State != roster.Gone {
			contacts = append(contacts, member.Contact{Host: m.Host, Zone: r.Zone, PeerAddr: m.PeerAddr, CallerAddr: m.CallerAddr})
		}
	}
	h.peers.Learn(contacts)
}

func (h *Host) hasJoined() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.joined || h.leaving.Load()
}

// isPoller reports whether this host is among the first of its zone that
// answer, in an order that differs from zone to zone.
func (h *Host) isPoller() bool {
	ranked := roster.Rank("poll:"+h.self.Zone, h.peers.UpNames(h.self.Host))
	for _, host := range ranked[:min(pollers, len(ranked))] {
		if host == h.self.Host {
			return true
		}
	}
	return false
}

func rosterKey(zone string) store.Key {
	return store.Key{Partition: partitionRoster, Sort: zone}
}

// readRoster reads the zone's roster and takes it in.
func (h *Host) readRoster(ctx context.Context) (roster.Roster, int64, error) {
	var row store.Row
	err := h.platform.Do(ctx, func(ctx context.Context) (err error) {
		row, err = h.opts.Table.Get(ctx, rosterKey(h.self.Zone))
		return err
	})
	if errors.Is(err, store.ErrNotFound) {
		return roster.Roster{Zone: h.self.Zone}, 0, nil
	}
	if err != nil {
		return roster.Roster{}, 0, eris.Wrap(err, "read roster")
	}
	r, err := peer.Decode[roster.Roster](row.Body)
	if err != nil {
		return r, 0, err
	}
	h.see(r)
	return r, row.Version, nil
}

// see takes a roster in and works out what it changes.
func (h *Host) see(r roster.Roster) {
	now := time.Now()
	h.learnRoster(r)
	h.mu.Lock()
	fresh := h.holder.See(r, now)
	for _, m := range r.Members {
		if _, seen := h.goneAt[m.Host]; m.State == roster.Gone && !seen {
			h.goneAt[m.Host] = now
		}
	}
	lost := h.joined && !h.leaving.Load() && !h.memberOf(r)
	h.mu.Unlock()
	if !fresh {
		return
	}
	h.log.Info().Uint64("epoch", r.Epoch).Strs("active", r.Active()).Msg("roster: new epoch")
	if lost {
		h.rejoin()
	}
	h.reconfigure()
	h.turnNow()
}

// fetchRoster takes the zone's roster from a host that has a newer one.
func (h *Host) fetchRoster(ctx context.Context, from member.Contact) {
	ctx, cancel := context.WithTimeout(ctx, peers.CallTimeout)
	defer cancel()
	r, err := peer.Call[roster.Roster](ctx, h.mesh, from.PeerAddr, peer.KindRoster, h.self.Zone)
	if err != nil || r.Zone != h.self.Zone {
		return
	}
	h.see(r)
}

// revalidate is called when the host was paused or cut off from everything.
// Its slots may have been given away in the meantime: it sends nothing to
// upstreams until the table, or a host of its zone, has shown it the roster.
// A host that is alone waits for the table.
func (h *Host) revalidate(ctx context.Context) bool {
	h.log.Warn().Msg("entry: host was paused or alone, asking for the roster")
	if _, _, err := h.readRoster(ctx); err == nil {
		return true
	}
	for _, p := range h.peers.Zone(h.self.Zone) {
		callCtx, cancel := context.WithTimeout(ctx, peers.CallTimeout)
		r, err := peer.Call[roster.Roster](callCtx, h.mesh, p.Contact.PeerAddr, peer.KindRoster, h.self.Zone)
		cancel()
		if err == nil && r.Zone == h.self.Zone {
			h.see(r)
			return true
		}
	}
	return false
}
