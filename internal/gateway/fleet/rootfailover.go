package fleet

import (
	"context"
	"errors"
	"slices"
	"time"

	"cairndock/internal/gateway/watch"
)

const (
	// storeProbeInterval is the time between polls that test whether the store is reachable
	// again, and storeProbeTimeout the time that each of them may take.
	storeProbeInterval = 2 * time.Second
	storeProbeTimeout  = time.Second
	// maxUnreachableWait bounds the long polls that a host without a path to the store
	// holds, because a host that does not know of it yet may have a better source.
	maxUnreachableWait = 200 * time.Millisecond
)

// storePolls is the state of the polls of a table at the store.
type storePolls struct {
	// failed is set if the last poll failed and this host was the root.
	failed bool
	// probedAt is when the last probe was sent.
	probedAt time.Time
}

// polledStore is a table of the store whose polls are recorded.
type polledStore struct {
	watch.Source
	fleet *Fleet
	table int
}

// List implements watch.Source.
func (s polledStore) List(ctx context.Context) (watch.Page, error) {
	page, err := s.Source.List(ctx)
	s.fleet.recordStorePoll(ctx, s.table, err)
	return page, err
}

// Changes implements watch.Source.
func (s polledStore) Changes(ctx context.Context, after watch.Version, wait time.Duration) (watch.Page, error) {
	page, err := s.Source.Changes(ctx, after, wait)
	s.fleet.recordStorePoll(ctx, s.table, err)
	return page, err
}

// recordStorePoll records the result of a poll of the store. Only a root gives up its place: the
// other hosts poll the store as a fallback, and their failures change nothing for the region. A
// root does so at once, because it polls other hosts while it waits to poll the store again.
func (f *Fleet) recordStorePoll(ctx context.Context, table int, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	selfReady := f.options.Status().Ready
	f.mu.Lock()
	responded := err == nil || errors.Is(err, watch.ErrHistoryGone)
	if responded || f.members.isRoot(selfReady, time.Now()) {
		f.storePolls[table].failed = !responded
	}
	unreachable := slices.ContainsFunc(f.storePolls, func(p storePolls) bool { return p.failed })
	changed := unreachable != f.members.storeUnreachable
	f.members.storeUnreachable = unreachable
	if changed && !unreachable {
		f.endRelayPolls()
	}
	f.mu.Unlock()
	if changed {
		f.announceStore(unreachable, err)
	}
}

// endRelayPolls ends this host's long polls of other hosts. One of them may have polled the store in
// this host's place, and may now wait for this host. f.mu must be held.
func (f *Fleet) endRelayPolls() {
	close(f.storeReachable)
	f.storeReachable = make(chan struct{})
}

// announceStore logs that this host no longer polls the store for its region, or may do so again,
// and tells the other hosts: those that poll this one at once, and the others in a heartbeat.
func (f *Fleet) announceStore(unreachable bool, err error) {
	if unreachable {
		f.options.Report.Lost("store of the region", f.options.Self.Region, err)
	} else {
		f.options.Report.Regained("store of the region", f.options.Self.Region, 0)
	}
	f.cachedStatus.reset()
	f.TriggerHeartbeats()
	for _, t := range f.options.Tables {
		t.Replica.EndWaits()
	}
}

// storeUnreachable reports whether this host reports Status.StoreUnreachable.
func (f *Fleet) storeUnreachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.storeUnreachable
}

// recordRelay records what a peer's response to a poll says about the peer, which is newer than its
// last heartbeat.
func (f *Fleet) recordRelay(host string, r relayResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.members.peers[host]; p != nil {
		p.status.StoreUnreachable = r.StoreUnreachable
	}
}

// probeStore polls the tables of the store that this host could not reach as the root. It polls
// other hosts meanwhile, and would not notice that the store is reachable again.
func (f *Fleet) probeStore(ctx context.Context, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for table := range f.storePolls {
		if p := &f.storePolls[table]; p.failed && now.Sub(p.probedAt) >= storeProbeInterval {
			p.probedAt = now
			go f.probeTable(ctx, table)
		}
	}
}

func (f *Fleet) probeTable(ctx context.Context, table int) {
	ctx, cancel := context.WithTimeout(ctx, storeProbeTimeout)
	defer cancel()
	t := f.options.Tables[table]
	// The result is recorded; the changes come from the host's relay.
	_, _ = polledStore{t.Store, f, table}.Changes(ctx, t.Replica.Version(), 0)
}

// isRoot reports whether this host polls the store for its region.
func (m *members) isRoot(selfReady bool, now time.Time) bool {
	_, root := m.relayParent(selfReady, now)
	return root
}
