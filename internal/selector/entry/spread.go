package entry

import (
	"bufio"
	"context"
	"slices"
	"strconv"
	"time"

	"cairndock/internal/peer"
	"cairndock/internal/selector/config"
	"cairndock/internal/selector/link"
	"cairndock/internal/selector/member"
	"cairndock/internal/selector/roster"
)

const (
	// maxRecent is how many changes a host keeps to pass on.
	maxRecent = 1000
	// pushFanout is how many hosts one host passes a change on to.
	pushFanout = 4
	// fetchTimeout bounds the fetching of changes, or of the whole state,
	// from a peer.
	fetchTimeout = 20 * time.Second
)

// pushMsg brings changes to a host. The tree that they spread by within a
// zone is the same for all: hosts ranked by the revision, each passing on
// to the next few.
type pushMsg struct {
	Changes []config.Change `msgpack:"c"`
}

type pushReply struct {
	Revision uint64 `msgpack:"r"`
}

// pushOn passes changes on within the zone.
func (h *Host) pushOn(ctx context.Context, changes []config.Change) {
	last := changes[len(changes)-1].Revision
	for _, c := range h.pushTargets(last) {
		go h.push(context.WithoutCancel(ctx), c, changes)
	}
}

func (h *Host) pushTargets(rev uint64) []member.Contact {
	contacts := map[string]member.Contact{h.self.Host: h.self}
	names := []string{h.self.Host}
	for _, c := range h.peers.Up(h.self.Zone) {
		contacts[c.Host] = c
		names = append(names, c.Host)
	}
	ranked := roster.Rank("push:"+strconv.FormatUint(rev, 10), names)
	place := slices.Index(ranked, h.self.Host)
	var out []member.Contact
	// A host at place p passes on to the places f*p+1 to f*p+f. A host that
	// was not reached by the tree starts one of its own at the root.
	for i := place*pushFanout + 1; i <= place*pushFanout+pushFanout && i < len(ranked); i++ {
		out = append(out, contacts[ranked[i]])
	}
	if place != 0 {
		out = append(out, contacts[ranked[0]])
	}
	return out
}

func (h *Host) push(ctx context.Context, to member.Contact, changes []config.Change) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	// A host that misses the push sees the revision in the next heartbeat.
	reply, err := peer.Call[pushReply](ctx, h.mesh, to.PeerAddr, peer.KindPush, pushMsg{changes})
	if err != nil {
		h.log.Debug().Str("peer", to.Host).Err(err).Msg("config: push failed")
		return
	}
	h.peers.Update(func(p *member.Peers) { p.NoteRevision(to.Host, reply.Revision) })
}

func (h *Host) servePush(ctx context.Context, from peer.Hello, msg pushMsg, w *peer.Responder) {
	if err := h.putInForce(ctx, msg.Changes); err != nil {
		// Changes are missing between; take them from the sender.
		h.fetchChangesFrom(ctx, from.Host)
	}
	_ = w.Send(pushReply{h.View().Revision()})
}

func (h *Host) fetchChangesFrom(ctx context.Context, host string) {
	if p, ok := h.peers.Get(host); ok {
		h.fetchChanges(ctx, p.Contact)
	}
}

// changesReply gives the changes after a revision, or says that the whole
// state follows as the body, when they are too many or not kept any more.
type changesReply struct {
	Changes  []config.Change    `msgpack:"c"`
	Snapshot bool               `msgpack:"s"`
	Shares   map[string]float64 `msgpack:"h"`
}

// maxChanges bounds the changes in one reply, in encoded bytes.
const maxChanges = 256 << 10

// fetchChanges takes newer changes from a peer.
func (h *Host) fetchChanges(ctx context.Context, from member.Contact) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if err := h.tryFetch(ctx, from); err != nil {
		h.log.Debug().Str("peer", from.Host).Err(err).Msg("config: fetch failed")
	}
}

func (h *Host) tryFetch(ctx context.Context, from member.Contact) error {
	payload, err := peer.Encode(h.View().Revision())
	if err != nil {
		return err
	}
	stream, err := h.mesh.Open(ctx, from.PeerAddr, peer.KindChanges, payload)
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
		h.adoptState(s)
	}
	if err := h.putInForce(ctx, reply.Changes); err != nil {
		return err
	}
	h.services.AdoptShares(reply.Shares)
	return nil
}

func (h *Host) serveChanges(after uint64, w *peer.Responder) {
	h.forced.Lock()
	recent := h.recent
	state := h.View().State()
	h.forced.Unlock()
	reply := changesReply{Shares: h.services.Shares()}
	i := slices.IndexFunc(recent, func(c config.Change) bool { return c.Revision == after+1 })
	if i >= 0 && sizeOf(recent[i:]) <= maxChanges {
		reply.Changes = recent[i:]
	} else {
		reply.Snapshot = after < state.Revision()
	}
	head, err := peer.Encode(reply)
	if err != nil || w.Reply(head) != nil {
		return
	}
	if reply.Snapshot {
		// Small writes are gathered, so that each frame is worth its cost.
		body := bufio.NewWriterSize(w, link.Chunk)
		if state.WriteSnapshot(body) != nil || body.Flush() != nil {
			_ = w.Fail()
			return
		}
	}
	_ = w.End()
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
