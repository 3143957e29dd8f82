package configsync

import (
	"bufio"
	"context"
	"slices"
	"strconv"
	"time"

	"cairndock/internal/peer"
	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/peers"
	"cairndock/internal/selector/link"
	"cairndock/internal/selector/member"
	"cairndock/internal/selector/roster"
)

const (
	// maxRecent is the maximum number of changes that a host retains for relaying.
	maxRecent = 1000
	// relayFanout is the number of hosts to which one host relays a change: the
	// branching factor of the relay tree within the zone
	// (docs/design/configuration.md).
	relayFanout = 4
	// fetchTimeout limits the time for fetching changes or the whole state from a
	// peer.
	fetchTimeout = 20 * time.Second
	// maxChangesBytes is the maximum encoded size of the changes in one reply, in
	// bytes. Above this size the whole state is sent instead.
	maxChangesBytes = 256 << 10
)

// Push is a message that sends changes to a host. All hosts of a zone compute
// the same relay tree: the hosts are ranked by a hash of the revision, and each
// relays to the relayFanout hosts that are its children in this ranking.
type Push struct {
	Changes []config.Change `msgpack:"c"`
}

// PushReply reports the revision that a host has in force after a push.
type PushReply struct {
	Revision uint64 `msgpack:"r"`
}

// relay sends changes to this host's relay targets within the zone.
func (r *Replica) relay(ctx context.Context, changes []config.Change) {
	last := changes[len(changes)-1].Revision
	for _, c := range r.relayTargets(last) {
		go r.push(context.WithoutCancel(ctx), c, changes)
	}
}

// relayTargets returns the hosts of the zone to which this host relays a
// revision.
func (r *Replica) relayTargets(rev uint64) []member.Contact {
	contacts := map[string]member.Contact{}
	names := []string{r.Host}
	for _, c := range r.Peers.UpContacts(r.Zone) {
		contacts[c.Host] = c
		names = append(names, c.Host)
	}
	ranked := roster.Rank("push:"+strconv.FormatUint(rev, 10), names)
	rank := slices.Index(ranked, r.Host)
	var out []member.Contact
	// With the fan-out f, the host at rank p relays to ranks f*p+1 to f*p+f. A
	// host may receive a change before the tree reaches it, so every host except
	// the root also sends the change to the root, which starts the tree.
	for i := rank*relayFanout + 1; i <= rank*relayFanout+relayFanout && i < len(ranked); i++ {
		out = append(out, contacts[ranked[i]])
	}
	if rank != 0 {
		out = append(out, contacts[ranked[0]])
	}
	return out
}

// push sends changes to a host and records the revision that the host replies
// with.
func (r *Replica) push(ctx context.Context, to member.Contact, changes []config.Change) {
	// A host that misses the push learns the revision from the next heartbeat.
	reply, err := peers.Call[PushReply](ctx, r.Mesh, to, peer.KindPush, Push{changes})
	if err != nil {
		r.Log.Debug().Str("peer", to.Host).Err(err).Msg("config: push failed")
		return
	}
	r.Peers.Update(func(p *member.Peers) { p.RecordRevision(to.Host, reply.Revision) })
}

// ServePush puts pushed changes in force. If earlier changes are missing, it
// fetches them from the sender. It returns the revision then in force.
func (r *Replica) ServePush(ctx context.Context, from string, msg Push) PushReply {
	if err := r.putInForce(ctx, msg.Changes); err != nil {
		r.Log.Debug().Str("peer", from).Err(err).Msg("config: pushed changes do not follow the current revision; fetching")
		if p, ok := r.Peers.Get(from); ok {
			r.Fetch(ctx, p.Contact)
		}
	}
	return PushReply{r.View().Revision()}
}

// changesReply contains the changes after a revision. If these are too large or
// no longer retained, Snapshot is set and the whole state follows as the body.
type changesReply struct {
	Changes  []config.Change    `msgpack:"c"`
	Snapshot bool               `msgpack:"s"`
	Shares   map[string]float64 `msgpack:"h"`
}

// Fetch fetches newer changes from a peer and puts them in force. A failure is
// only logged.
func (r *Replica) Fetch(ctx context.Context, from member.Contact) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if err := r.tryFetch(ctx, from); err != nil {
		r.Log.Debug().Str("peer", from.Host).Err(err).Msg("config: fetch failed")
	}
}

// tryFetch fetches a peer's changes above this host's revision or its whole
// state, puts them in force and starts the ramps at the peer's shares.
func (r *Replica) tryFetch(ctx context.Context, from member.Contact) error {
	payload, err := peer.Encode(r.View().Revision())
	if err != nil {
		return err
	}
	stream, err := r.Mesh.Open(ctx, from.PeerAddr, peer.KindChanges, payload)
	if err != nil {
		return err
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	reply, err := peer.Decode[changesReply](stream.Payload)
	if err != nil {
		return err
	}
	if reply.Snapshot {
		s, err := config.ReadSnapshot(stream)
		if err != nil {
			return err
		}
		r.Adopt(s)
	}
	if err := r.putInForce(ctx, reply.Changes); err != nil {
		return err
	}
	r.Services.AdoptShares(reply.Shares)
	return nil
}

// ServeChanges sends the changes after a revision, or the whole state, to a
// peer.
func (r *Replica) ServeChanges(after uint64, w *peer.Responder) {
	r.mu.Lock()
	recent := r.recent
	state := r.View().State()
	r.mu.Unlock()
	reply := changesReply{Shares: r.Services.Shares()}
	i := slices.IndexFunc(recent, func(c config.Change) bool { return c.Revision == after+1 })
	if i >= 0 && sizeOf(recent[i:]) <= maxChangesBytes {
		reply.Changes = recent[i:]
	} else {
		reply.Snapshot = after < state.Revision()
	}
	head, err := peer.Encode(reply)
	if err != nil {
		r.Log.Error().Err(err).Msg("config: failed to encode changes")
		return
	}
	if w.Reply(head) != nil {
		return // the connection is lost, and the peer retries
	}
	if reply.Snapshot {
		// Small writes are buffered to avoid the overhead of many small frames.
		body := bufio.NewWriterSize(w, link.MaxChunk)
		if state.WriteSnapshot(body) != nil || body.Flush() != nil {
			_ = w.Fail() // Fail fails as well if the connection is lost
			return
		}
	}
	_ = w.End() // an error means that the connection is lost
}

// sizeOf returns the approximate encoded size of changes, in bytes.
func sizeOf(changes []config.Change) int {
	n := 0
	for _, c := range changes {
		for _, e := range c.Edits {
			n += len(e.Ref.Name) + len(e.Body)
		}
	}
	return n
}
