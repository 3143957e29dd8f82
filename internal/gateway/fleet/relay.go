package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/gateway/watch"
	"cairndock/internal/peer"
)

const (
	// maxRelayWait bounds how long a host holds the long poll of a peer. It exceeds the long
	// polls that a watcher sends: a poll that ends before the store confirms the replica
	// may miss that confirmation.
	maxRelayWait = 30 * time.Second
	// backupRelays is how many more peers are polled when the parent and the store fail.
	backupRelays = 2
	// maxRelayAge is the age from which on nothing is added to the age of a page. It is far
	// above any staleness bound, and far below the age of a replica that the store has never
	// confirmed, which must not overflow.
	maxRelayAge = time.Hour
)

// relayRequest polls a peer's replica of a table.
type relayRequest struct {
	// Table is the index in Options.Tables.
	Table int `msgpack:"t"`
	// Full requests all rows instead of the changes after a version.
	Full  bool  `msgpack:"w,omitempty"`
	After int64 `msgpack:"a,omitempty"`
	// AfterEra is the era of After. Hosts of versions without eras omit it.
	AfterEra int64 `msgpack:"e,omitempty"`
	// Wait is how long the peer may wait for changes.
	Wait time.Duration `msgpack:"d,omitempty"`
	// MaxAge is the age of the replica from which on the peer does not wait.
	MaxAge time.Duration `msgpack:"m,omitempty"`
	// Chunk requests only a part of all rows: those whose keys come after From. Hosts of
	// versions without chunks ignore both and send all rows.
	Chunk bool   `msgpack:"k,omitempty"`
	From  string `msgpack:"f,omitempty"`
}

// relayResponse is the response to a relayRequest.
type relayResponse struct {
	Page watch.Page `msgpack:"p"`
	// HistoryGone reports that the peer no longer has the requested changes.
	HistoryGone bool `msgpack:"g,omitempty"`
	// More reports that there are rows with higher keys than those of the page.
	More bool `msgpack:"o,omitempty"`
	// StoreUnreachable is Status.StoreUnreachable of the peer.
	StoreUnreachable bool `msgpack:"s,omitempty"`
	// Held is how long the peer took to respond; nil from hosts of older versions.
	Held *time.Duration `msgpack:"h,omitempty"`
}

// addTransit adds to the age of the page what the request and the response spent on their way, of
// the time that the poll took. Without it a response that waited would make the replica look
// younger than it is. Negative times of a faulty peer count as zero, because they could overflow.
func (r *relayResponse) addTransit(took time.Duration) {
	r.Page.Age = max(0, r.Page.Age)
	if r.Held != nil {
		r.addAge(max(0, took-max(0, *r.Held)))
	}
}

// addAge adds to the age of the page.
func (r *relayResponse) addAge(d time.Duration) {
	if r.Page.Age < maxRelayAge {
		r.Page.Age += d
	}
}

// relay is a source that reads a peer's replica of a table.
type relay struct {
	fleet   *Fleet
	host    string
	address string
	table   int
}

// maxChunkBytes is the size of the keys and values in a chunk of a table. It is far below
// the maximum size of a frame, whose other bytes belong to the rows' versions.
const maxChunkBytes = 256 << 10

// maxListChunks and maxListBytes limit a listing over all its chunks, as package platform does for
// those of the store.
const (
	maxListChunks = 1000
	maxListBytes  = 64 << 20
)

// errRestored reports that the peer's replica changed its era during a listing.
var errRestored = eris.New("the relay's era changed during a listing")

// List reads all rows of the peer's replica, in chunks that fit into a frame. Later chunks may
// be newer. List returns the version and the age of the first one, so that the changes after
// that version include all changes made meanwhile.
func (r relay) List(ctx context.Context) (watch.Page, error) {
	request := relayRequest{Table: r.table, Full: true, Chunk: true}
	all, err := r.request(ctx, request)
	began := time.Now()
	size := sizeOf(all.Page.Rows)
	for chunks := 1; err == nil && all.More && len(all.Page.Rows) > 0; chunks++ {
		if chunks >= maxListChunks || size > maxListBytes {
			return watch.Page{}, eris.Errorf("the list of the relay at %s exceeds the limit of %d chunks or of %d bytes", r.address, maxListChunks, maxListBytes)
		}
		request.From = all.Page.Rows[len(all.Page.Rows)-1].Key
		var next relayResponse
		if next, err = r.request(ctx, request); err != nil {
			break
		}
		if next.Page.Era != all.Page.Era {
			return watch.Page{}, errRestored
		}
		size += sizeOf(next.Page.Rows)
		all.Page.Rows, all.More = append(all.Page.Rows, next.Page.Rows...), next.More && len(next.Page.Rows) > 0
	}
	all.addAge(time.Since(began))
	return all.Page, err
}

// sizeOf returns the size of the keys and values of rows, in bytes.
func sizeOf(rows []watch.Row) int {
	n := 0
	for _, row := range rows {
		n += len(row.Key) + len(row.Value)
	}
	return n
}

// Changes waits until the peer's replica has changes after a version or the store has
// confirmed the replica.
func (r relay) Changes(ctx context.Context, after watch.Version, wait time.Duration) (watch.Page, error) {
	response, err := r.request(ctx, relayRequest{Table: r.table, After: after.Number, AfterEra: after.Era, Wait: wait, MaxAge: r.fleet.options.MaxAge})
	return response.Page, err
}

// request sends a request to the peer. The error is watch.ErrHistoryGone if the peer does not
// have the requested rows.
func (r relay) request(ctx context.Context, request relayRequest) (relayResponse, error) {
	sent := time.Now()
	response, err := peer.Call[relayResponse](ctx, r.fleet.mesh, r.address, peer.KindChanges, request)
	if err != nil {
		return relayResponse{}, eris.Wrap(err, "poll relay")
	}
	response.addTransit(time.Since(sent))
	r.fleet.recordRelay(r.host, response)
	if response.HistoryGone {
		return response, watch.ErrHistoryGone
	}
	return response, nil
}

// serveRelay serves a peer's poll. A request that cannot be decoded or that has no valid
// table fails without a log line here, because the peer logs that the source is lost.
func (f *Fleet) serveRelay(ctx context.Context, payload []byte, w *peer.Responder) {
	request, err := peer.Decode[relayRequest](payload)
	if err != nil || request.Table < 0 || request.Table >= len(f.options.Tables) {
		fail(w)
		return
	}
	response, err := f.readRelay(ctx, request)
	if err != nil {
		fail(w) // the peer has disconnected, or this host is stopping
		return
	}
	respond(w, response)
}

// readRelay returns the response to a peer's poll.
func (f *Fleet) readRelay(ctx context.Context, request relayRequest) (relayResponse, error) {
	began := time.Now()
	if f.storeUnreachable() {
		request.Wait = min(request.Wait, maxUnreachableWait)
	}
	page, more, err := request.read(ctx, f.options.Tables[request.Table].Replica)
	gone := errors.Is(err, watch.ErrHistoryGone)
	if err != nil && !gone {
		return relayResponse{}, err
	}
	return relayResponse{Page: page, HistoryGone: gone, More: more, StoreUnreachable: f.storeUnreachable(), Held: new(time.Since(began))}, nil
}

// read returns the rows that are requested. more is set if a chunk is not the last one.
func (r relayRequest) read(ctx context.Context, replica *watch.Replica) (page watch.Page, more bool, err error) {
	switch {
	case r.Full && r.Chunk:
		return replica.Chunk(r.From, maxChunkBytes)
	case r.Full:
		page, err = replica.List(ctx)
	default:
		page, err = replica.ChangesWithin(ctx, watch.Version{Era: r.AfterEra, Number: r.After}, min(r.Wait, maxRelayWait), r.MaxAge)
	}
	return page, false, err
}

// Sources returns the sources of a table, in order of preference. The root of the
// region's relay tree polls the store and falls back to peers. Any other host polls its
// parent, and falls back to the store and then to other peers. A starting host may for a
// short time have no source, or only peers (startsFromPeers).
func (f *Fleet) Sources(table int) []watch.NamedSource {
	selfReady := f.options.Status().Ready
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	parent, root := f.members.relayParent(selfReady, now)
	first := root && !f.members.storeUnreachable
	var sources []watch.NamedSource
	if !root {
		sources = append(sources, f.relay(table, parent))
	}
	if selfReady || !f.members.startsFromPeers(f.options.FirstStart, f.discovery.complete, now) {
		sources = append(sources, watch.NamedSource{Name: "store", Source: polledStore{f.options.Tables[table].Store, f, table}, Fallback: !first, ListAfter: f.members.listDelay(first)})
	}
	for _, h := range f.members.freshPeers(backupRelays, parent.Name, now) {
		sources = append(sources, f.relay(table, h))
	}
	return sources
}

func (f *Fleet) relay(table int, h Host) watch.NamedSource {
	source := relay{fleet: f, host: h.Name, address: h.PeerAddress, table: table}
	return watch.NamedSource{Name: h.Name, Source: source, Relay: true, Superseded: f.storeReachable}
}

// versionSeen is the newest version of a table that any peer has.
type versionSeen struct {
	version watch.Version
	// at is when a heartbeat first reported the version.
	at time.Time
}

// recordVersions records the versions of tables in a peer's status. The caller holds
// f.mu.
func (f *Fleet) recordVersions(s Status, now time.Time) {
	for table, version := range s.lastChanges() {
		if table < len(f.newest) && version.Newer(f.newest[table].version) {
			f.newest[table] = versionSeen{version, now}
		}
	}
}

// NewestKnown returns the newest version of a table's last change that a peer has
// reported, and how long ago that was. The version is zero if no peer has reported one.
func (f *Fleet) NewestKnown(table int) (watch.Version, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.newest[table]
	return n.version, time.Since(n.at)
}
