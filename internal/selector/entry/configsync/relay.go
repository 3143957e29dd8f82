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
	// maxRecent is how many changes a host keeps to pass on.
	maxRecent = 1000
	// relayFanout is how many hosts one host passes a change on to: a tree of
	// four within the zone (docs/design/configuration.md).
	relayFanout = 4
	// fetchTimeout bounds the fetching of changes, or of the whole state,
	// from a peer.
	fetchTimeout = 20 * time.Second
	// maxChanges bounds the changes in one reply, in encoded bytes. Above
	// it the whole state is sent.
	maxChanges = 256 << 10
)

// Push brings changes to a host. The tree by which they are relayed within a
// zone is the same at all hosts: ranked by the revision, each passes on to the
// next few.
type Push struct {
	Changes []config.Change `msgpack:"c"`
}

// PushReply is the revision that a host has in force after a push.
type PushReply struct {
	Revision uint64 `msgpack:"r"`
}

// relay passes changes on within the zone.
func (r *Replica) relay(ctx context.Context, changes []config.Change) {
	last := changes[len(changes)-1].Revision
	for _, c := range r.relayTargets(last) {
		go r.push(context.WithoutCancel(ctx), c, changes)
	}
}

// relayTargets gives the hosts of the zone that this one passes a revision on
// to.
func (r *Replica) relayTargets(rev uint64) []member.Contact {
	contacts := map[string]member.Contact{}
	names := []string{r.Host}
	for _, c := range r.Peers.UpContacts(r.Zone) {
		contacts[c.Host] = c
		names = append(names, c.Host)
	}
	ranked := roster.Rank("push:"+strconv.FormatUint(rev, 10), names)
	place := slices.Index(ranked, r.Host)
	var out []member.Contact
	// The host ranked p relays to those ranked f*p+1 to f*p+f. A host that has
	// a change before the tree reached it starts a tree at its root as well.
	for i := place*relayFanout + 1; i <= place*relayFanout+relayFanout && i < len(ranked); i++ {
		out = append(out, contacts[ranked[i]])
	}
	if place != 0 {
		out = append(out, contacts[ranked[0]])
	}
	return out
}

// push sends changes to a host, and notes the revision that it then has.
func (r *Replica) push(ctx context.Context, to member.Contact, changes []config.Change) {
	// A host that misses the push sees the revision in the next heartbeat.
	reply, err := peers.Call[PushReply](ctx, r.Mesh, to, peer.KindPush, Push{changes})
	if err != nil {
		r.Log.Debug().Str("peer", to.Host).Err(err).Msg("config: push failed")
		return
	}
	r.Peers.Update(func(p *member.Peers) { p.RecordRevision(to.Host, reply.Revision) })
}

// ServePush puts pushed changes in force. Where earlier ones are missing, it
// fetches them from the sender.
func (r *Replica) ServePush(ctx context.Context, from string, msg Push) PushReply {
	if err := r.putInForce(ctx, msg.Changes); err != nil {
		r.Log.Debug().Str("peer", from).Err(err).Msg("config: pushed changes do not follow, fetching")
		if p, ok := r.Peers.Get(from); ok {
			r.Fetch(ctx, p.Contact)
		}
	}
	return PushReply{r.View().Revision()}
}

// changesReply gives the changes after a revision, or says that the whole
// state follows as the body, when they are too many or not kept any more.
type changesReply struct {
	Changes  []config.Change    `msgpack:"c"`
	Snapshot bool               `msgpack:"s"`
	Shares   map[string]float64 `msgpack:"h"`
}

// Fetch takes newer changes from a peer.
func (r *Replica) Fetch(ctx context.Context, from member.Contact) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if err := r.tryFetch(ctx, from); err != nil {
		r.Log.Debug().Str("peer", from.Host).Err(err).Msg("config: fetch failed")
	}
}

// tryFetch puts in force what a peer has after this host's revision, and starts
// the ramps from the peer's shares.
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

// ServeChanges writes the changes after a revision, or the whole state.
func (r *Replica) ServeChanges(after uint64, w *peer.Responder) {
	r.mu.Lock()
	recent := r.recent
	state := r.View().State()
	r.mu.Unlock()
	reply := changesReply{Shares: r.Services.Shares()}
	i := slices.IndexFunc(recent, func(c config.Change) bool { return c.Revision == after+1 })
	if i >= 0 && sizeOf(recent[i:]) <= maxChanges {
		reply.Changes = recent[i:]
	} else {
		reply.Snapshot = after < state.Revision()
	}
	head, err := peer.Encode(reply)
	if err != nil {
		r.Log.Error().Err(err).Msg("config: changes can't be encoded")
		return
	}
	if w.Reply(head) != nil {
		return // the connection is lost, and the peer asks again
	}
	if reply.Snapshot {
		// Small writes are gathered, so that each frame is worth its cost.
		body := bufio.NewWriterSize(w, link.MaxChunk)
		if state.WriteSnapshot(body) != nil || body.Flush() != nil {
			_ = w.Fail() // the connection may be what failed
			return
		}
	}
	_ = w.End() // as above
}

// sizeOf is about the encoded size of changes.
func sizeOf(changes []config.Change) int {
	n := 0
	for _, c := range changes {
		for _, e := range c.Edits {
			n += len(e.Ref.Name) + len(e.Body)
		}
	}
	return n
}
