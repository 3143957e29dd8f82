package rosters

import (
	"context"
	"errors"
	"slices"
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
	// partitionRoster is the table's partition of the rosters, by zone.
	partitionRoster = "roster"
	// rosterInterval is the least time between two looks of a poller at the
	// zone's roster.
	rosterInterval = time.Second
	// HostsInterval is the time between two looks of a poller at the
	// platform's host list: the time that an upstream's leaving by the list
	// may go unseen (0.8 s measured, docs/design/heartbeats.md).
	HostsInterval = 2 * time.Second
	// pollers is how many hosts of a zone look at the platform for all, so
	// that one may fail (docs/design/configuration.md).
	pollers = 2
	// maxRosterRows bounds the zones read at once.
	maxRosterRows = 1000
	// memberBytes is about the size of one member in a roster's row.
	memberBytes = 110
	// readBytesPerSecond is what a poller may spend on reading the roster, in
	// bytes per second: a large one is read less often. Its writer sends
	// the zone each new epoch anyway. Half of what heartbeats may take (package
	// member).
	readBytesPerSecond = 2000
	// discoverInterval is the time between the first two looks at all zones'
	// rosters while some zone can't be reached. It doubles up to
	// maxDiscover.
	discoverInterval = 5 * time.Second
	// maxDiscover is the longest time between two such looks, so that a zone
	// that is gone for long costs little.
	maxDiscover = 5 * time.Minute
)

// Loop joins the zone's roster, follows it and takes dead members out, until
// ctx ends. A failed tick is tried again after a pause that grows.
func (m *Membership) Loop(ctx context.Context) {
	retry := platformcalls.NewBackoff()
	var last lastReads
	for {
		err := m.tick(ctx, &last)
		wait := max(rosterInterval, time.Duration(last.rosterSize)*time.Second/readBytesPerSecond)
		if err != nil {
			wait = retry.NextBackOff()
			m.Log.Debug().Err(err).Msg("roster: tick failed")
		} else {
			retry.Reset()
		}
		if !pause.For(ctx, wait) {
			return
		}
	}
}

// lastReads is when the roster loop last read the host list and all rosters, and
// what it found.
type lastReads struct {
	hosts, zones time.Time
	// zonesEvery is the time until the next look at all rosters.
	zonesEvery time.Duration
	// rosterSize is about the size of the zone's roster, in bytes.
	rosterSize int
}

// tick joins the roster or, as a member, reads what is due.
func (m *Membership) tick(ctx context.Context, last *lastReads) error {
	if !m.hasJoined() {
		return m.join(ctx)
	}
	if err := m.discover(ctx, last); err != nil {
		return err
	}
	if !m.IsPoller() {
		return nil
	}
	r, _, err := m.readRoster(ctx)
	if err != nil {
		return err
	}
	last.rosterSize = memberBytes * len(r.Members)
	if time.Since(last.hosts) < HostsInterval {
		return nil
	}
	last.hosts = time.Now()
	return m.lookAtHosts(ctx)
}

// discover learns the hosts of other zones from their rosters, as long as
// some configured zone has no host that answers. Heartbeats name the rest.
func (m *Membership) discover(ctx context.Context, last *lastReads) error {
	if !m.missesZone() {
		last.zonesEvery = 0
		return nil
	}
	if time.Since(last.zones) < last.zonesEvery {
		return nil
	}
	last.zones = time.Now()
	last.zonesEvery = max(discoverInterval, min(2*last.zonesEvery, maxDiscover))
	rows, err := platformcalls.Get(ctx, m.Platform, func(ctx context.Context) ([]store.Row, error) {
		return m.Table.List(ctx, partitionRoster, "", maxRosterRows)
	})
	if err != nil {
		return eris.Wrap(err, "read rosters")
	}
	for _, row := range rows {
		r, err := peer.Decode[roster.Roster](row.Body)
		if err != nil {
			return err
		}
		m.Peers.Learn(contacts(r))
	}
	return nil
}

// missesZone reports whether no host of some other zone answers.
func (m *Membership) missesZone() bool {
	return slices.ContainsFunc(m.KnownZones(), func(zone string) bool {
		return zone != m.Zone && len(m.Peers.Contacts(zone, false)) == 0
	})
}

// hasJoined reports whether there is nothing to join: this host is a member, or
// it is stopping.
func (m *Membership) hasJoined() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.joined || m.Leaving()
}

// IsPoller reports whether this host is among the first of its zone that
// answer, in an order that differs from zone to zone.
func (m *Membership) IsPoller() bool {
	ranked := roster.Rank("poll:"+m.Zone, m.Peers.UpNames())
	return slices.Contains(ranked[:min(pollers, len(ranked))], m.Host)
}

// rosterKey is where a zone's roster is in the table.
func rosterKey(zone string) store.Key {
	return store.Key{Partition: partitionRoster, Sort: zone}
}

// readRoster reads the zone's roster and its row's version from the table, and
// merges it. A zone without a row has an empty roster at version 0.
func (m *Membership) readRoster(ctx context.Context) (roster.Roster, int64, error) {
	row, err := platformcalls.Get(ctx, m.Platform, func(ctx context.Context) (store.Row, error) {
		return m.Table.Get(ctx, rosterKey(m.Zone))
	})
	if errors.Is(err, store.ErrNotFound) {
		return roster.Roster{Zone: m.Zone}, 0, nil
	}
	if err != nil {
		return roster.Roster{}, 0, eris.Wrap(err, "read roster")
	}
	r, err := peer.Decode[roster.Roster](row.Body)
	if err != nil {
		return roster.Roster{}, 0, err
	}
	m.Merge(r)
	return r, row.Version, nil
}

// Fetch takes the zone's roster from a host that has a newer one.
func (m *Membership) Fetch(ctx context.Context, from member.Contact) {
	if err := m.tryFetch(ctx, from); err != nil {
		// Its next heartbeat shows the newer epoch again.
		m.Log.Debug().Str("peer", from.Host).Err(err).Msg("roster: fetch failed")
	}
}

// tryFetch merges a peer's roster of this host's zone.
func (m *Membership) tryFetch(ctx context.Context, from member.Contact) error {
	r, err := peers.Call[roster.Roster](ctx, m.Mesh, from, peer.KindRoster, m.Zone)
	if err != nil {
		return err
	}
	if r.Zone != m.Zone {
		return eris.Errorf("%s has the roster of %q", from.Host, r.Zone)
	}
	m.Merge(r)
	return nil
}

// Prove reads the roster from the table or from a host of the zone, after this
// host was paused or cut off from everything, and reports whether it could.
// Slots that were given away meanwhile are gone then. A host that is alone
// waits for the table.
func (m *Membership) Prove(ctx context.Context) bool {
	m.Log.Warn().Msg("entry: host was paused or alone, asking for the roster")
	_, _, err := m.readRoster(ctx)
	if err == nil {
		return true
	}
	m.Log.Debug().Err(err).Msg("roster: the platform can't be asked, asking the zone")
	for _, p := range m.Peers.Zone(m.Zone) {
		if m.tryFetch(ctx, p.Contact) == nil { // else the next host, or the next tick
			return true
		}
	}
	return false
}
