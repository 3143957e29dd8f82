package fleet

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"testing"
	"time"

	"cairndock/internal/gateway/watch"
)

const (
	// regionStaleness is the staleness bound of the hosts in these tests.
	regionStaleness = 4 * time.Second
	// storeTransit and peerTransit are the times that a message takes one way.
	storeTransit, peerTransit = 35 * time.Millisecond, 500 * time.Microsecond
)

var errThrottled = errors.New("throttled")

// link is a path over which a host polls a source.
type link struct {
	mu sync.Mutex
	// transit is the time that a message takes one way.
	transit time.Duration
	// refused makes calls fail, and silent makes them wait for their deadline.
	refused, silent bool
	// used is set once a message was sent.
	used bool
}

func (l *link) set(refused, silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused, l.silent = refused, silent
}

func (l *link) setTransit(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.transit = d
}

// wasUsed reports whether a message was sent since the last call.
func (l *link) wasUsed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer func() { l.used = false }()
	return l.used
}

func (l *link) pass(ctx context.Context) error {
	l.mu.Lock()
	refused, silent, transit := l.refused, l.silent, l.transit
	l.used = true
	l.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(transit)
	if refused {
		return errThrottled
	}
	return ctx.Err()
}

// overLink reads a source over a link.
type overLink struct {
	watch.Source
	link *link
}

func (o overLink) List(ctx context.Context) (watch.Page, error) {
	return o.read(ctx, func() (watch.Page, error) { return o.Source.List(ctx) })
}

func (o overLink) Changes(ctx context.Context, after watch.Version, wait time.Duration) (watch.Page, error) {
	return o.read(ctx, func() (watch.Page, error) { return o.Source.Changes(ctx, after, wait) })
}

func (o overLink) read(ctx context.Context, read func() (watch.Page, error)) (watch.Page, error) {
	if err := o.link.pass(ctx); err != nil {
		return watch.Page{}, err
	}
	page, err := read()
	if passErr := o.link.pass(ctx); passErr != nil {
		return watch.Page{}, passErr
	}
	return page, err
}

// storedTable is a table of the store.
type storedTable struct {
	mu      sync.Mutex
	rows    []watch.Row
	changed chan struct{}
}

func (s *storedTable) put() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := int64(len(s.rows) + 1)
	s.rows = append(s.rows, watch.Row{Key: strconv.FormatInt(version, 10), Version: version})
	close(s.changed)
	s.changed = make(chan struct{})
	return version
}

func (s *storedTable) since(after int64) (watch.Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return watch.Page{Rows: append([]watch.Row(nil), s.rows[min(int(after), len(s.rows)):]...), Version: watch.Version{Number: int64(len(s.rows))}}, s.changed
}

func (s *storedTable) List(context.Context) (watch.Page, error) {
	page, _ := s.since(0)
	return page, nil
}

func (s *storedTable) Changes(ctx context.Context, after watch.Version, wait time.Duration) (watch.Page, error) {
	page, changed := s.since(after.Number)
	if len(page.Rows) > 0 {
		return page, nil
	}
	select {
	case <-changed:
	case <-time.After(wait):
	case <-ctx.Done():
		return watch.Page{}, ctx.Err()
	}
	page, _ = s.since(after.Number)
	return page, nil
}

// watchingHost is a host that watches a table.
type watchingHost struct {
	noopSink
	fleet   *Fleet
	replica *watch.Replica
	// store is the host's path to the store, and peers its path to other hosts.
	store, peers link

	mu sync.Mutex
	// learnedAt is when the host learned of each version.
	learnedAt map[int64]time.Time
}

func (h *watchingHost) Apply(u watch.Update) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, row := range u.Rows {
		h.learnedAt[row.Version] = time.Now()
	}
}

// slowDown sets the time that a message to or from a peer takes.
func (r *watchingRegion) slowDown(transit time.Duration) {
	for _, h := range r.hosts {
		h.peers.setTransit(transit)
	}
}

// pollsStore returns the names of the hosts that have polled the store since the last call.
func (r *watchingRegion) pollsStore() (names []string) {
	for _, name := range r.names {
		if r.hosts[name].store.wasUsed() {
			names = append(names, name)
		}
	}
	return names
}

// delay is how long ago a version was written when the host learned of it, or until now if the
// host has not learned of it.
func (h *watchingHost) delay(version int64, written time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at, ok := h.learnedAt[version]; ok {
		return at.Sub(written)
	}
	return time.Since(written)
}

func (h *watchingHost) status() Status {
	s := Status{Ready: true, Fresh: h.replica.Age() < watch.Timing(regionStaleness).MaxAge()}
	return s.WithLastChange(h.replica.LastChange())
}

// watchingRegion is a region whose hosts watch a table, in virtual time.
type watchingRegion struct {
	table *storedTable
	hosts map[string]*watchingHost
	names []string
}

// startWatchingRegion starts a region of three zones, whose hosts run until the test ends. It must
// be called in a testing/synctest bubble.
func startWatchingRegion(t *testing.T, smallPerZone int) *watchingRegion {
	t.Helper()
	r := &watchingRegion{table: &storedTable{changed: make(chan struct{})}, hosts: map[string]*watchingHost{}}
	r.table.put()
	all := zonesOf(3, smallPerZone)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	t.Cleanup(func() { cancel(); running.Wait() })
	for _, self := range all {
		self.PeerAddress = self.Name
		h := &watchingHost{replica: watch.NewReplica(), learnedAt: map[int64]time.Time{}}
		h.store.setTransit(storeTransit)
		h.peers.setTransit(peerTransit)
		h.fleet = New(Options{
			Self: self, Regions: []string{self.Region}, Registry: newFakeRegistry(), Report: noopReporter{}, Status: h.status,
			Tables: []Table{{Replica: h.replica, Store: overLink{r.table, &h.store}}}, MaxAge: watch.Timing(regionStaleness).MaxAge(),
		})
		h.fleet.members = startedMembers(self, all, time.Now().Add(-longUptime))
		r.hosts[self.Name], r.names = h, append(r.names, self.Name)
	}
	for i, name := range r.names {
		offset := time.Duration(i) * heartbeatInterval / time.Duration(len(all))
		running.Go(func() { r.sendHeartbeats(ctx, r.hosts[name], offset) })
		running.Go(func() { r.watch(ctx, r.hosts[name]) })
	}
	return r
}

// sendHeartbeats sends a host's heartbeats to its peers.
func (r *watchingRegion) sendHeartbeats(ctx context.Context, from *watchingHost, offset time.Duration) {
	time.Sleep(offset)
	for ctx.Err() == nil {
		from.fleet.mu.Lock()
		targets := from.fleet.members.regionPeers(time.Now())
		from.fleet.mu.Unlock()
		from.fleet.probeStore(ctx, time.Now())
		b := heartbeat{Host: from.fleet.options.Self, Status: from.fleet.status()}
		for _, to := range targets {
			r.hosts[to].fleet.recordHeartbeat(b)
		}
		from.awaitHeartbeat(time.Now())
	}
}

// awaitHeartbeat waits until the heartbeats after those of a time are due.
func (h *watchingHost) awaitHeartbeat(sent time.Time) {
	for time.Since(sent) < heartbeatInterval && !h.triggeredSince(sent) {
		time.Sleep(schedulerTick)
	}
}

// triggeredSince reports whether the host made its heartbeats due after a time.
func (h *watchingHost) triggeredSince(sent time.Time) bool {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	return h.fleet.triggeredAt.After(sent)
}

// watch keeps a host's replica up to date until the context ends.
func (r *watchingRegion) watch(ctx context.Context, h *watchingHost) {
	sources := func() []watch.NamedSource {
		order := h.fleet.Sources(0)
		for i, n := range order {
			if n.Relay {
				order[i].Source = overLink{memoryRelay{from: h.fleet, to: r.hosts[n.Name].fleet}, &h.peers}
			}
		}
		return order
	}
	newest := func() (watch.Version, time.Duration) { return h.fleet.NewestKnown(0) }
	watch.New(h.replica, sources, newest, h, watch.Timing(regionStaleness)).Run(ctx)
}

// memoryRelay is a host's replica as another host reads it.
type memoryRelay struct{ from, to *Fleet }

func (m memoryRelay) List(ctx context.Context) (watch.Page, error) {
	return m.request(ctx, relayRequest{Full: true})
}

func (m memoryRelay) Changes(ctx context.Context, after watch.Version, wait time.Duration) (watch.Page, error) {
	return m.request(ctx, relayRequest{After: after.Number, AfterEra: after.Era, Wait: wait, MaxAge: m.from.options.MaxAge})
}

func (m memoryRelay) request(ctx context.Context, request relayRequest) (watch.Page, error) {
	response, err := m.to.readRelay(ctx, request)
	if err != nil {
		return watch.Page{}, err
	}
	m.from.recordRelay(m.to.options.Self.Name, response)
	if response.HistoryGone {
		return response.Page, watch.ErrHistoryGone
	}
	return response.Page, nil
}

// root returns the host that polls the store.
func (r *watchingRegion) root() string {
	for _, name := range r.names {
		h := r.hosts[name]
		h.fleet.mu.Lock()
		root := h.fleet.members.isRoot(true, time.Now())
		h.fleet.mu.Unlock()
		if root {
			return name
		}
	}
	return ""
}
