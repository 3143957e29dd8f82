package fleet

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"cairndock/internal/gateway/watch"
	"cairndock/internal/peer"
)

// relayRequest asks another host for a table as it knows it.
type relayRequest struct {
	Table int `msgpack:"t"`
	// Whole asks for all rows, else for the changes after a version.
	Whole bool          `msgpack:"w,omitempty"`
	After int64         `msgpack:"a,omitempty"`
	Wait  time.Duration `msgpack:"d,omitempty"`
	// MaxAge is the age from which on the answer should not wait.
	MaxAge time.Duration `msgpack:"m,omitempty"`
}

// relayReply is the answer; Gap says that the changes are no longer known.
type relayReply struct {
	Page watch.Page `msgpack:"p"`
	Gap  bool       `msgpack:"g,omitempty"`
}

// maxRelayWait bounds how long a host holds another's question.
const maxRelayWait = 2 * time.Second

// relay is another host's replica of a table.
type relay struct {
	fleet   *Fleet
	address string
	table   int
}

// List reads all rows as the other host knows them.
func (r relay) List(ctx context.Context) (watch.Page, error) {
	return r.ask(ctx, relayRequest{Table: r.table, Whole: true})
}

// Changes waits for changes that the other host learns of.
func (r relay) Changes(ctx context.Context, after int64, wait time.Duration) (watch.Page, error) {
	return r.ask(ctx, relayRequest{Table: r.table, After: after, Wait: wait, MaxAge: r.fleet.maxAge})
}

func (r relay) ask(ctx context.Context, q relayRequest) (watch.Page, error) {
	reply, err := peer.Call[relayReply](ctx, r.fleet.mesh, r.address, peer.KindChanges, q)
	if err != nil {
		return watch.Page{}, eris.Wrap(err, "ask relay")
	}
	if reply.Gap {
		return watch.Page{}, watch.ErrHistoryGone
	}
	return reply.Page, nil
}

// serveRelay answers another host's question.
func (f *Fleet) serveRelay(ctx context.Context, payload []byte, w *peer.Responder) {
	q, err := peer.Decode[relayRequest](payload)
	if err != nil || q.Table < 0 || q.Table >= len(f.tables) {
		_ = w.Fail()
		return
	}
	replica := f.tables[q.Table].Replica
	var page watch.Page
	if q.Whole {
		page, err = replica.List(ctx)
	} else {
		page, err = replica.ChangesWithin(ctx, q.After, min(q.Wait, maxRelayWait), q.MaxAge)
	}
	if err != nil && !errors.Is(err, watch.ErrHistoryGone) {
		_ = w.Fail()
		return
	}
	_ = w.Send(relayReply{Page: page, Gap: err != nil})
}

// Table is a table that hosts relay to each other.
type Table struct {
	Replica *watch.Replica
	Store   watch.Source
}

// storeName names the store among a table's sources.
const storeName = "store"

// otherRelays bounds the hosts that are asked when the store and the relay
// of the region fail.
const otherRelays = 2

// Sources gives the sources of a table, the best first. One host of a region
// asks the store, and the others ask that host or one that asks it, so that the
// store's load grows with regions and not with hosts. Whoever finds its first source
// failing asks the store, and then hosts of other regions.
func (f *Fleet) Sources(table int) []watch.NamedSource {
	store := watch.NamedSource{Name: storeName, Source: f.tables[table].Store}
	selfReady := f.status().Ready
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	source, self := f.members.source(selfReady, now)
	if self {
		return append([]watch.NamedSource{store}, f.relays(table, f.members.fresh(now), "")...)
	}
	store.Fallback = true
	first := f.relay(table, source)
	sources := []watch.NamedSource{first, store}
	return append(sources, f.relays(table, f.members.fresh(now), first.Name)...)
}

func (f *Fleet) relay(table int, h Host) watch.NamedSource {
	return watch.NamedSource{Name: h.Name, Source: relay{fleet: f, address: h.PeerAddress, table: table}, Relay: true}
}

func (f *Fleet) relays(table int, hosts []Host, but string) []watch.NamedSource {
	var relays []watch.NamedSource
	for _, h := range hosts {
		if h.Name == but {
			continue
		}
		if relays = append(relays, f.relay(table, h)); len(relays) == otherRelays {
			break
		}
	}
	return relays
}

// Newest gives the version of the newest change of a table that another host
// has told of, and for how long that has been known.
func (f *Fleet) NewestKnown(table int) (int64, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.newest[table]
	if n.version == 0 {
		return 0, 0
	}
	return n.version, time.Since(n.at)
}

// noted is a change that another host has told of.
type versionSeen struct {
	version int64
	at      time.Time
}

// noteChanges takes down which changes another host knows; f.mu is held.
func (f *Fleet) recordVersions(s Status, now time.Time) {
	for table, version := range s.Changes {
		if table < len(f.newest) && version > f.newest[table].version {
			f.newest[table] = versionSeen{version, now}
		}
	}
}

// relayFanout is how many hosts ask one relay, so that none has to send a
// change to all hosts of a large region.
const relayFanout = 6

// source gives the live host of the own region that this one asks, or says
// that it asks the store itself. The region's hosts form a tree in an order
// that does not depend on what they do: the first asks the store, and each
// other one asks a host before it. So no two ever ask each other, whatever
// they believe of who lives. selfReady says that this host knows enough to
// serve; before that it also asks hosts that do not yet.
func (m *Members) source(selfReady bool, now time.Time) (Host, bool) {
	var before []Host
	for _, p := range m.peers {
		if p.Host.Region != m.self.Region || !p.Alive(now) || p.Status.Leaving || (selfReady && !p.Status.Ready) {
			continue
		}
		if rank(p.Host) < rank(m.self) {
			before = append(before, p.Host)
		}
	}
	if len(before) == 0 {
		return m.self, true
	}
	slices.SortFunc(before, func(a, b Host) int { return cmp.Compare(rank(a), rank(b)) })
	return before[(len(before)-1)/relayFanout], false
}

// rank orders hosts without regard to anything they do.
func rank(h Host) uint64 { return xxhash.Sum64String(h.Name) }

// fresh gives the live hosts whose knowledge the store confirmed lately, in
// the order of the host's own region first.
func (m *Members) fresh(now time.Time) []Host {
	var hosts []Host
	for _, p := range m.peers {
		if p.Alive(now) && p.Status.Fresh {
			hosts = append(hosts, p.Host)
		}
	}
	slices.SortFunc(hosts, func(a, b Host) int {
		return cmp.Or(cmp.Compare(m.distance(a), m.distance(b)), cmp.Compare(rank(a), rank(b)))
	})
	return hosts
}

func (m *Members) distance(h Host) int {
	switch {
	case h.Zone == m.self.Zone:
		return 0
	case h.Region == m.self.Region:
		return 1
	default:
		return 2
	}
}
