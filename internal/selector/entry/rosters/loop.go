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
	// partitionRoster is the table's partition that holds the rosters, keyed by
	// zone.
	partitionRoster = "roster"
	// rosterInterval is the minimum time between two reads of the zone's roster
	// by a poller.
	rosterInterval = time.Second
	// HostsInterval is the time between two reads of the platform's host list
	// by a poller. It bounds the delay until hosts see that the list marks an
	// upstream as leaving (0.8 s measured, docs/design/heartbeats.md).
	HostsInterval = 2 * time.Second
	// pollersPerZone is the number of hosts per zone that poll the platform on behalf
	// of the zone. With two, one may fail (docs/design/configuration.md).
	pollersPerZone = 2
	// maxRosterRows is the maximum number of rosters, one per zone, in one read.
	maxRosterRows = 1000
	// memberBytes is the approximate size of one member in a roster's row, in
	// bytes.
	memberBytes = 110
	// readBytesPerSecond limits the rate at which a poller reads the roster, in
	// bytes per second. A large roster is therefore read less often, which is
	// acceptable because its writer notifies the zone of each new epoch. The
	// value is half of the limit for heartbeats (package member).
	readBytesPerSecond = 2000
	// discoverInterval is the time between the first two reads of all zones'
	// rosters while some zone is unreachable. It doubles up to maxDiscoverInterval.
	discoverInterval = 5 * time.Second
	// maxDiscoverInterval is the maximum time between two such reads. It keeps the cost
	// of a zone that is unreachable for a long time low.
	maxDiscoverInterval = 5 * time.Minute
)

// Loop joins the zone's roster, follows its changes and removes dead members
// until ctx ends. Failed ticks are retried with exponential backoff.
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

// lastReads holds the times of the roster loop's latest reads of the host list
// and of all rosters, and the size of the zone's roster.
type lastReads struct {
	hosts, zones time.Time
	// zonesInterval is the time until the next read of all rosters.
	zonesInterval time.Duration
	// rosterSize is the approximate size of the zone's roster, in bytes.
	rosterSize int
}

// tick joins the roster or, if this host is a member, does the reads that are
// due.
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
	return m.checkHostList(ctx)
}

// discover reads the hosts of other zones from their rosters while some known
// zone has no responsive host. Further hosts are learned from heartbeats.
func (m *Membership) discover(ctx context.Context, last *lastReads) error {
	if !m.missesZone() {
		last.zonesInterval = 0
		return nil
	}
	if time.Since(last.zones) < last.zonesInterval {
		return nil
	}
	last.zones = time.Now()
	last.zonesInterval = max(discoverInterval, min(2*last.zonesInterval, maxDiscoverInterval))
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

// missesZone reports whether some other zone has no responsive host.
func (m *Membership) missesZone() bool {
	return slices.ContainsFunc(m.KnownZones(), func(zone string) bool {
		return zone != m.Zone && len(m.Peers.Contacts(zone, false)) == 0
	})
}

// hasJoined reports whether no join is needed because this host is a member or
// is stopping.
func (m *Membership) hasJoined() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.joined || m.Leaving()
}

// IsPoller reports whether this host polls the platform for its zone. The
// pollers are the first responsive hosts of the zone in a ranking that depends
// on the zone's name.
func (m *Membership) IsPoller() bool {
	ranked := roster.Rank("poll:"+m.Zone, m.Peers.UpNames())
	return slices.Contains(ranked[:min(pollersPerZone, len(ranked))], m.Host)
}

// rosterKey returns the table key of a zone's roster.
func rosterKey(zone string) store.Key {
	return store.Key{Partition: partitionRoster, Sort: zone}
}

// readRoster reads and merges the zone's roster. It returns the roster and the
// version of its row. A zone without a row has an empty roster at version 0.
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

// Fetch fetches and merges the zone's roster from a host that has a newer one.
// A failure is only logged.
func (m *Membership) Fetch(ctx context.Context, from member.Contact) {
	if err := m.tryFetch(ctx, from); err != nil {
		// The next heartbeat of that host triggers another fetch.
		m.Log.Debug().Str("peer", from.Host).Err(err).Msg("roster: fetch failed")
	}
}

// tryFetch fetches the roster of this host's zone from a peer and merges it.
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

// Prove reads the roster from the table or from a host of the zone after this
// host was paused or isolated, and reports whether a read succeeded. The merge
// drops slots that were assigned to other hosts in the meantime. A host without
// peers depends on the table.
func (m *Membership) Prove(ctx context.Context) bool {
	m.Log.Warn().Msg("entry: host was paused or isolated; reading the roster")
	_, _, err := m.readRoster(ctx)
	if err == nil {
		return true
	}
	m.Log.Debug().Err(err).Msg("roster: platform read failed; asking hosts of the zone")
	for _, p := range m.Peers.Zone(m.Zone) {
		if m.tryFetch(ctx, p.Contact) == nil { // otherwise the next host or the next tick
			return true
		}
	}
	return false
}
