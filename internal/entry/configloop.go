package entry

import (
	"bufio"
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/config"
	"cairndock/internal/link"
	"cairndock/internal/member"
	"cairndock/internal/peer"
	"cairndock/internal/roster"
)

const (
	// pollInterval is the time between two looks at the head of the log.
	pollInterval = time.Second
	// selfPollAge is the age of the last proof of freshness at which a host
	// that is no poller looks for itself.
	selfPollAge = 2500 * time.Millisecond
	// maxRecent is how many changes a host keeps to pass on.
	maxRecent = 1000
	// pushFanout is how many hosts one host passes a change on to.
	pushFanout = 4
	// snapshotEvery is how many changes lie between two snapshots.
	snapshotEvery = 200
	confirmPause  = 100 * time.Millisecond
	// fetchTimeout bounds the fetching of changes, or of the whole state,
	// from a peer.
	fetchTimeout = 20 * time.Second
	// appendTimeout bounds the acceptance of a change.
	appendTimeout = 10 * time.Second
)

// platformLoop looks for new changes and proves that there are none.
func (h *Host) platformLoop(ctx context.Context) {
	pause := newBackoff()
	failing := false
	for {
		wait := h.pollWait()
		err := h.platformTurn(ctx)
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			h.log.Warn().Err(err).Bool("failing", failing).Msg("config: asking the platform")
		}
		if err != nil {
			wait = pause.NextBackOff()
		} else {
			pause.Reset()
		}
		if !sleep(ctx, wait) {
			return
		}
	}
}

// pollWait spreads the polls of many hosts.
func (h *Host) pollWait() time.Duration {
	return time.Duration(float64(pollInterval) * (0.9 + 0.2*h.random.Float64()))
}

func (h *Host) platformTurn(ctx context.Context) error {
	stale := h.now()-h.freshAt.Load() > int64(selfPollAge)
	if !h.isPoller() && !stale {
		return nil
	}
	return h.poll(ctx)
}

// poll reads the head of the log and what came after this host's revision.
func (h *Host) poll(ctx context.Context) error {
	began := h.now()
	if h.View().Revision() == 0 {
		return h.loadAll(ctx, began)
	}
	var headRev uint64
	err := h.call(ctx, func(ctx context.Context) (err error) {
		headRev, err = h.configLog.Head(ctx)
		return err
	})
	if err != nil {
		return err
	}
	for h.View().Revision() < headRev {
		if err := h.readLog(ctx); err != nil {
			return err
		}
	}
	h.setFresh(began)
	return h.maybeSnapshot(ctx)
}

func (h *Host) readLog(ctx context.Context) error {
	var changes []config.Change
	err := h.call(ctx, func(ctx context.Context) (err error) {
		changes, err = h.configLog.Since(ctx, h.View().Revision())
		return err
	})
	if err != nil {
		return err
	}
	if len(changes) == 0 {
		return eris.New("log ends before its head")
	}
	return h.putInForce(ctx, changes)
}

// loadAll reads the newest snapshot and what came after it.
func (h *Host) loadAll(ctx context.Context, began int64) error {
	if err := h.limiter.Wait(ctx); err != nil {
		return eris.Wrap(err, "wait for the platform's rate")
	}
	s, err := h.configLog.Load(ctx)
	if err != nil {
		return err
	}
	h.adoptState(s)
	h.setFresh(began)
	return nil
}

// adoptState puts a whole state in force, if it is newer.
func (h *Host) adoptState(s *config.State) {
	h.forced.Lock()
	if s.Revision() > h.View().Revision() {
		h.view.Store(config.NewView(s, h.self.Zone))
		h.recent = nil
	}
	h.forced.Unlock()
	h.reconfigure()
}

// putInForce applies changes in order. Those at or below the revision in
// force are passed over: a host only ever moves to a higher revision.
func (h *Host) putInForce(ctx context.Context, changes []config.Change) error {
	h.forced.Lock()
	state := h.View().State()
	var news []config.Change
	for _, c := range changes {
		if c.Revision <= state.Revision() {
			continue
		}
		next, err := state.With(c)
		if err != nil {
			h.forced.Unlock()
			return err
		}
		state = next
		news = append(news, c)
	}
	if len(news) > 0 {
		h.view.Store(h.View().With(state, news))
		h.recent = append(h.recent, news...)
		h.recent = h.recent[max(0, len(h.recent)-maxRecent):]
	}
	h.forced.Unlock()
	if len(news) == 0 {
		return nil
	}
	h.reconfigure()
	h.metrics.Add("cairndock_config_changes_total", len(news))
	h.pushOn(ctx, news)
	return nil
}

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
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	contacts := map[string]member.Contact{h.self.Host: h.self}
	names := []string{h.self.Host}
	for _, p := range h.peers.Zone(h.self.Zone) {
		if p.Up(now) {
			contacts[p.Contact.Host] = p.Contact
			names = append(names, p.Contact.Host)
		}
	}
	ranked := roster.Rank("push:"+logName(rev), names)
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

func logName(rev uint64) string { return time.Duration(rev).String() }

func (h *Host) push(ctx context.Context, to member.Contact, changes []config.Change) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	// A host that misses the push sees the revision in the next heartbeat.
	_, err := peer.Call[pushReply](ctx, h.mesh, to.PeerAddr, peer.KindPush, pushMsg{changes})
	if err != nil {
		h.log.Debug().Str("peer", to.Host).Err(err).Msg("config: push failed")
	}
}

func (h *Host) servePush(ctx context.Context, from peer.Hello, msg pushMsg, w *peer.Responder) {
	if err := h.putInForce(ctx, msg.Changes); err != nil {
		// Changes are missing between; take them from the sender.
		h.fetchChangesFrom(ctx, from.Host)
	}
	_ = w.Send(pushReply{h.View().Revision()})
}

func (h *Host) fetchChangesFrom(ctx context.Context, host string) {
	h.mu.Lock()
	p, ok := h.peers.Get(host)
	h.mu.Unlock()
	if ok {
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
	h.adoptShares(reply.Shares)
	return nil
}

// adoptShares joins the ramps of a host of the zone, once, when starting.
func (h *Host) adoptShares(shares map[string]float64) {
	if len(shares) == 0 {
		return
	}
	for _, svc := range h.View().Services() {
		s := h.serviceFor(svc.Name)
		s.mu.Lock()
		if !s.adopted {
			s.adopted = true
			s.decider.Meter().Adopt(shares)
		}
		s.mu.Unlock()
	}
}

func (h *Host) shares() map[string]float64 {
	out := map[string]float64{}
	for _, svc := range h.View().Services() {
		s := h.serviceFor(svc.Name)
		s.mu.Lock()
		for name, share := range s.decider.Meter().Shares() {
			out[name] = share
		}
		s.mu.Unlock()
	}
	return out
}

func (h *Host) serveChanges(after uint64, w *peer.Responder) {
	h.forced.Lock()
	recent := h.recent
	state := h.View().State()
	h.forced.Unlock()
	reply := changesReply{Shares: h.shares()}
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

// maybeSnapshot stores a snapshot every so many changes.
func (h *Host) maybeSnapshot(ctx context.Context) error {
	rev := h.View().Revision()
	if rev == 0 || rev%snapshotEvery != 0 {
		return nil
	}
	return h.call(ctx, func(ctx context.Context) error {
		return h.configLog.SaveSnapshot(ctx, h.View().State())
	})
}

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
	if err := h.limiter.Wait(appendCtx); err != nil {
		return Applied{}, eris.Wrap(err, "wait for the platform's rate")
	}
	state, rev, err := h.configLog.Append(appendCtx, h.View().State(), c)
	if err != nil {
		return Applied{}, err
	}
	accepted := time.Now()
	h.forceTo(ctx, state, c)
	waitCtx, stop := context.WithTimeout(ctx, wait)
	defer stop()
	return h.await(waitCtx, rev, c.ID, accepted), nil
}

// forceTo puts the state that an append gave in force here and pushes the
// change to every zone.
func (h *Host) forceTo(ctx context.Context, state *config.State, c config.Change) {
	if state.Revision() <= h.View().Revision() {
		return
	}
	change := c.WithRevision(state.Revision())
	if h.View().Revision()+1 == change.Revision {
		_ = h.putInForce(ctx, []config.Change{change})
	} else {
		h.adoptState(state)
	}
	for _, contact := range h.zoneContacts() {
		go h.push(context.WithoutCancel(ctx), contact, []config.Change{change})
	}
}

// zoneContacts gives one host of each other zone.
func (h *Host) zoneContacts() []member.Contact {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	var out []member.Contact
	for _, zone := range h.peers.Zones() {
		if zone == h.self.Zone {
			continue
		}
		if contacts := h.peers.Contacts(zone, now, false); len(contacts) > 0 {
			out = append(out, contacts[0])
		}
	}
	return out
}

// await asks every zone until each has the revision in force, or can't be
// asked and has frozen itself.
func (h *Host) await(ctx context.Context, rev uint64, id string, accepted time.Time) Applied {
	for {
		a := h.Progress(ctx, rev, id, accepted)
		if a.State == StateAccepted || !sleep(ctx, confirmPause) {
			return a
		}
	}
}

// Progress says which zones have a revision in force. Accepted is when it
// was accepted, or a later time.
func (h *Host) Progress(ctx context.Context, rev uint64, id string, accepted time.Time) Applied {
	a := Applied{State: StateAccepted, Revision: rev, Change: id}
	lapsed := time.Since(accepted) > FreezeAfter+time.Second
	for _, zone := range h.knownZones() {
		p := h.zoneProgress(ctx, zone, rev)
		p.Lapsed = lapsed && !p.Confirmed
		if !p.Confirmed && !p.Lapsed {
			a.State = StatePending
		}
		a.Zones = append(a.Zones, p)
	}
	return a
}

// knownZones are the configured zones and those with hosts.
func (h *Host) knownZones() []string {
	zones := []string{h.self.Zone}
	for _, z := range h.View().Zones() {
		zones = append(zones, z.Name)
	}
	h.mu.Lock()
	zones = append(zones, h.peers.Zones()...)
	h.mu.Unlock()
	slices.Sort(zones)
	return slices.Compact(zones)
}

func (h *Host) zoneProgress(ctx context.Context, zone string, rev uint64) ZoneProgress {
	if zone == h.self.Zone {
		return h.ownProgress(rev)
	}
	h.mu.Lock()
	contacts := h.peers.Contacts(zone, time.Now(), false)
	h.mu.Unlock()
	for _, c := range contacts {
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
	h.mu.Lock()
	now := time.Now()
	for _, m := range h.holder.Current().Members {
		if m.Host == h.self.Host || m.State == roster.Gone {
			continue
		}
		mate, known := h.peers.Get(m.Host)
		// A silent host may still serve, by an older configuration.
		if !known || mate.Beat.Revision < rev {
			if known && now.Sub(mate.HeardAt) > FreezeAfter+member.LostAfter {
				continue
			}
			p.Lagging = append(p.Lagging, m.Host)
		}
	}
	h.mu.Unlock()
	p.Confirmed = len(p.Lagging) == 0
	if !p.Confirmed {
		h.kickLagging(p.Lagging)
	}
	return p
}

// kickLagging asks hosts that seem to lag for a heartbeat now.
func (h *Host) kickLagging(hosts []string) {
	for _, host := range hosts {
		h.mu.Lock()
		p, ok := h.peers.Get(host)
		h.mu.Unlock()
		if ok && time.Since(p.AskedAt) > confirmPause {
			h.mu.Lock()
			h.peers.Asking(host, time.Now())
			h.mu.Unlock()
			go h.beatOne(context.Background(), p.Contact)
		}
	}
}

// ChangeProgress gives the progress of a change by its id.
func (h *Host) ChangeProgress(ctx context.Context, id string) (Applied, bool, error) {
	var rev uint64
	var found bool
	err := h.call(ctx, func(ctx context.Context) (err error) {
		rev, found, err = h.configLog.ByID(ctx, id)
		return err
	})
	if err != nil || !found {
		return Applied{}, false, err
	}
	// When it was accepted is not known here; now is later.
	return h.Progress(ctx, rev, id, time.Now()), true, nil
}
