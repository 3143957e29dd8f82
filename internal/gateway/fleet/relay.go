package fleet

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/gateway/watch"
	"cairndock/internal/peer"
)

const (
	// maxRelayWait bounds how long a host holds a peer's long poll: a
	// watcher's long poll of a relay stays below it for bounds on staleness up
	// to 3.3 s.
	maxRelayWait = 2 * time.Second
	// backupRelays is how many more peers are polled when the parent and the
	// store fail.
	backupRelays = 2
)

// relayRequest polls a peer's replica of a table.
type relayRequest struct {
	// Table is the index in Options.Tables.
	Table int `msgpack:"t"`
	// Full asks for all rows instead of the changes after a version.
	Full  bool  `msgpack:"w,omitempty"`
	After int64 `msgpack:"a,omitempty"`
	// AfterEra is the era of After; hosts before eras leave it out.
	AfterEra int64 `msgpack:"e,omitempty"`
	// Wait is how long the peer may wait for changes.
	Wait time.Duration `msgpack:"d,omitempty"`
	// MaxAge is the replica's age from which on the peer does not wait.
	MaxAge time.Duration `msgpack:"m,omitempty"`
}

// relayResponse is the response to a relayRequest.
type relayResponse struct {
	Page watch.Page `msgpack:"p"`
	// HistoryGone reports that the peer no longer has the changes asked for.
	HistoryGone bool `msgpack:"g,omitempty"`
}

// relay is a peer's replica of a table, as a source.
type relay struct {
	fleet   *Fleet
	address string
	table   int
}

// List reads all rows of the peer's replica.
func (r relay) List(ctx context.Context) (watch.Page, error) {
	return r.poll(ctx, relayRequest{Table: r.table, Full: true})
}

// Changes waits until the peer's replica has changes after a version or is
// confirmed by the store.
func (r relay) Changes(ctx context.Context, after watch.Version, wait time.Duration) (watch.Page, error) {
	return r.poll(ctx, relayRequest{Table: r.table, After: after.Number, AfterEra: after.Era, Wait: wait, MaxAge: r.fleet.options.MaxAge})
}

func (r relay) poll(ctx context.Context, request relayRequest) (watch.Page, error) {
	response, err := peer.Call[relayResponse](ctx, r.fleet.mesh, r.address, peer.KindChanges, request)
	if err != nil {
		return watch.Page{}, eris.Wrap(err, "ask relay")
	}
	if response.HistoryGone {
		return response.Page, watch.ErrHistoryGone
	}
	return response.Page, nil
}

// serveRelay serves a peer's poll. A request that cannot be decoded or names no
// table fails without a log line here: the peer logs that the source is lost.
func (f *Fleet) serveRelay(ctx context.Context, payload []byte, w *peer.Responder) {
	request, err := peer.Decode[relayRequest](payload)
	if err != nil || request.Table < 0 || request.Table >= len(f.options.Tables) {
		fail(w)
		return
	}
	page, err := request.read(ctx, f.options.Tables[request.Table].Replica)
	if err != nil && !errors.Is(err, watch.ErrHistoryGone) {
		fail(w) // the peer is gone, or the host is stopping
		return
	}
	respond(w, relayResponse{Page: page, HistoryGone: err != nil})
}

func (r relayRequest) read(ctx context.Context, replica *watch.Replica) (watch.Page, error) {
	if r.Full {
		return replica.List(ctx)
	}
	return replica.ChangesWithin(ctx, watch.Version{Era: r.AfterEra, Number: r.After}, min(r.Wait, maxRelayWait), r.MaxAge)
}

// Sources returns the sources of a table, the best first. The root of the
// region's relay tree polls the store and falls back to peers. Any other host
// polls its parent, falls back to the store, and then to other peers. At its
// start it may have no source for a moment, or peers only (startsFromPeers).
func (f *Fleet) Sources(table int) []watch.NamedSource {
	selfReady := f.options.Status().Ready
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	parent, root := f.members.relayParent(selfReady, now)
	var sources []watch.NamedSource
	if !root {
		sources = append(sources, f.relay(table, parent))
	}
	if selfReady || !f.members.startsFromPeers(f.options.FirstStart, f.discovery.complete, now) {
		sources = append(sources, watch.NamedSource{Name: "store", Source: f.options.Tables[table].Store, Fallback: !root, ListAfter: f.members.listDelay(root)})
	}
	others := slices.DeleteFunc(f.members.freshPeers(now), func(h Host) bool { return h.Name == parent.Name })
	for _, h := range others[:min(len(others), backupRelays)] {
		sources = append(sources, f.relay(table, h))
	}
	return sources
}

func (f *Fleet) relay(table int, h Host) watch.NamedSource {
	return watch.NamedSource{Name: h.Name, Source: relay{fleet: f, address: h.PeerAddress, table: table}, Relay: true}
}

// versionSeen is the newest version of a table that any peer has.
type versionSeen struct {
	version watch.Version
	// at is when a heartbeat first named it.
	at time.Time
}

// recordVersions records the tables' versions in a peer's status; f.mu is held.
func (f *Fleet) recordVersions(s Status, now time.Time) {
	for table, version := range s.lastChanges() {
		if table < len(f.newest) && version.Newer(f.newest[table].version) {
			f.newest[table] = versionSeen{version, now}
		}
	}
}

// NewestKnown returns the newest version of a table's last change that a peer
// has reported, and how long ago that was; the version is zero if none has.
func (f *Fleet) NewestKnown(table int) (watch.Version, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.newest[table]
	return n.version, time.Since(n.at)
}
