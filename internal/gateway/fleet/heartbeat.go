package fleet

import (
	"context"
	"net"
	"sync"
	"time"

	"cairndock/internal/gateway/outlier"
	"cairndock/internal/peer"
)

const (
	// beatEvery is the pace of heartbeats to a peer that answers, and
	// retryEvery the one to a peer that does not.
	heartbeatEvery = 800 * time.Millisecond
	retryEvery     = 2 * time.Second
	// tick is the pace of the loop that looks who is due.
	tick = 200 * time.Millisecond
	// beatTimeout bounds a heartbeat.
	heartbeatTimeout = 700 * time.Millisecond
	// registryEvery is how often the registry is tried until it answers.
	registryEvery = 500 * time.Millisecond
)

// Registry is a list of hosts that outlasts them all.
type Registry interface {
	// Announce writes the host down, and Withdraw strikes it out.
	Announce(ctx context.Context, h Host) error
	Withdraw(ctx context.Context, h Host) error
	Hosts(ctx context.Context) ([]Host, error)
}

// Reporter is told what changes about the other hosts.
type Reporter interface {
	Lost(kind, name string, err error)
	Regained(kind, name string, after time.Duration)
}

// Judge takes what the hosts of the own region saw of upstreams.
type ObservationSink interface {
	Merge(host string, suspects []outlier.Observation, now time.Time)
}

// beat is a heartbeat and its answer.
type heartbeat struct {
	Host   Host   `msgpack:"h"`
	Status Status `msgpack:"s"`
	// Ask says that the sender wants to know of other hosts. The answer
	// then has Hosts.
	Ask   hostQuery `msgpack:"a,omitempty"`
	Hosts []Host    `msgpack:"l,omitempty"`
}

// Fleet exchanges heartbeats with the other hosts.
type Fleet struct {
	registry     Registry
	report       Reporter
	observations ObservationSink
	status       func() Status
	mesh         *peer.Mesh
	seeds        []string

	tables []Table
	maxAge time.Duration

	mu         sync.Mutex
	newest     []versionSeen
	members    *Members
	next       map[string]time.Time
	sentSoonAt time.Time
	// asked says that some peer has told of the others, and askedAt when
	// each other region was last asked for its hosts.
	asked   bool
	askedAt map[string]time.Time
	wait    sync.WaitGroup
}

// Options is what a fleet is made of.
type Options struct {
	Self         Host
	Registry     Registry
	Report       Reporter
	Observations ObservationSink
	// Status tells the host's own state.
	Status func() Status
	// Seeds are peer addresses that may lead to other hosts.
	Seeds     []string
	Transport peer.Transport
	// Tables are those that hosts relay, by their numbers.
	Tables []Table
	// MaxAge is the age up to which a relayed table is of use.
	MaxAge time.Duration
}

// New makes a fleet.
func New(o Options) *Fleet {
	f := &Fleet{
		registry: o.Registry, report: o.Report, observations: o.Observations, status: o.Status, seeds: o.Seeds,
		members: NewMembers(o.Self), next: map[string]time.Time{}, askedAt: map[string]time.Time{},
		tables: o.Tables, maxAge: o.MaxAge, newest: make([]versionSeen, len(o.Tables)),
	}
	hello := peer.Hello{Host: o.Self.Name, Zone: o.Self.Zone, Incarnation: o.Self.Incarnation}
	f.mesh = peer.NewMesh(hello, o.Transport, f)
	return f
}

// Start takes heartbeats, and sends them until the context ends.
func (f *Fleet) Start(ctx context.Context) error {
	if _, err := f.mesh.Listen(f.members.Self().PeerAddress); err != nil {
		return err
	}
	f.wait.Add(2)
	go func() {
		defer f.wait.Done()
		f.register(ctx)
	}()
	go func() {
		defer f.wait.Done()
		f.heartbeatLoop(ctx)
	}()
	return nil
}

// Close breaks the connections to other hosts.
func (f *Fleet) Close() {
	f.mesh.Close()
	f.wait.Wait()
}

// Withdraw strikes the host out of the registry and tells the others that it
// leaves, as well as it can.
func (f *Fleet) Withdraw(ctx context.Context) {
	f.heartbeatAll(ctx)
	_ = f.registry.Withdraw(ctx, f.members.Self())
}

// register writes the host down and learns of the others, until both worked.
func (f *Fleet) register(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.registry.Announce(ctx, f.members.Self())
		if err == nil {
			var hosts []Host
			if hosts, err = f.registry.Hosts(ctx); err == nil {
				f.addKnown(hosts)
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(registryEvery):
		}
	}
}

func (f *Fleet) addKnown(hosts []Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, h := range hosts {
		f.members.AddKnown(h, now)
	}
}

func (f *Fleet) heartbeatLoop(ctx context.Context) {
	f.askSeeds(ctx)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		for _, p := range f.due(now) {
			go f.exchangeHeartbeat(ctx, p.Host)
		}
		f.mu.Lock()
		dead := f.members.TakeExpired(last, now)
		f.mu.Unlock()
		for _, h := range dead {
			f.report.Lost("peer", h.Name, context.DeadlineExceeded)
		}
		last = now
	}
}

// askSeeds asks the seeds of a starting host who there is.
func (f *Fleet) askSeeds(ctx context.Context) {
	for _, address := range f.seeds {
		if address != f.members.Self().PeerAddress {
			go f.exchangeHeartbeat(ctx, Host{PeerAddress: address})
		}
	}
}

// due gives the peers whose next heartbeat is due, and sets the one after.
func (f *Fleet) due(now time.Time) []*Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	var due []*Peer
	for _, p := range f.members.HeartbeatPeers(now) {
		name := p.Host.Name
		if now.Before(f.next[name]) {
			continue
		}
		pause := heartbeatEvery
		if !p.Alive(now) {
			pause = retryEvery
		}
		f.next[name] = now.Add(pause)
		due = append(due, p)
	}
	return due
}

func (f *Fleet) heartbeatAll(ctx context.Context) {
	f.mu.Lock()
	peers := f.members.Peers()
	f.mu.Unlock()
	var wait sync.WaitGroup
	for _, p := range peers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			f.exchangeHeartbeat(ctx, p.Host)
		}()
	}
	wait.Wait()
}

// beatOne exchanges a heartbeat with a host; of a seed only the address is
// known.
func (f *Fleet) exchangeHeartbeat(ctx context.Context, to Host) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	f.mu.Lock()
	ask := f.ask(to.Region, time.Now())
	f.mu.Unlock()
	message := heartbeat{Host: f.members.Self(), Status: f.status(), Ask: ask}
	reply, err := peer.Call[heartbeat](ctx, f.mesh, to.PeerAddress, peer.KindHeartbeat, message)
	if err != nil {
		// What a cut holds up must not delay the heartbeats after it.
		f.mesh.Drop(to.PeerAddress)
		return
	}
	f.recordHeartbeat(reply)
	f.addKnown(reply.Hosts)
	if ask == askAll {
		f.mu.Lock()
		f.asked = true
		f.mu.Unlock()
	}
}

func (f *Fleet) recordHeartbeat(b heartbeat) {
	now := time.Now()
	f.mu.Lock()
	back := f.members.RecordHeartbeat(b.Host, b.Status, now)
	f.recordVersions(b.Status, now)
	if back {
		f.next[b.Host.Name] = now.Add(heartbeatEvery)
	}
	f.mu.Unlock()
	if back {
		f.report.Regained("peer", b.Host.Name, 0)
	}
	if f.observations != nil && b.Host.Region == f.members.Self().Region {
		f.observations.Merge(b.Host.Name, b.Status.Observations, now)
	}
}

// ServePeer answers other hosts.
func (f *Fleet) ServePeer(ctx context.Context, _ peer.Hello, kind peer.Kind, payload []byte, w *peer.Responder) {
	switch kind {
	case peer.KindHeartbeat:
		f.serveHeartbeat(payload, w)
	case peer.KindChanges:
		f.serveRelay(ctx, payload, w)
	default:
		_ = w.Fail()
	}
}

func (f *Fleet) serveHeartbeat(payload []byte, w *peer.Responder) {
	b, err := peer.Decode[heartbeat](payload)
	if err != nil {
		_ = w.Fail()
		return
	}
	f.recordHeartbeat(b)
	f.postpone(b.Host.Name)
	reply := heartbeat{Host: f.members.Self(), Status: f.status()}
	if b.Ask != askNothing {
		reply.Hosts = f.hosts(b.Ask)
	}
	_ = w.Send(reply)
}

// postpone puts off the own heartbeat to a host that has just sent one: the
// answer to it tells both the same.
func (f *Fleet) postpone(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next[name] = time.Now().Add(heartbeatEvery)
}

func (f *Fleet) hosts(ask hostQuery) []Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ask == askRegion {
		return f.members.Region(time.Now())
	}
	var hosts []Host
	for _, p := range f.members.Peers() {
		hosts = append(hosts, p.Host)
	}
	return hosts
}

// Entries gives the addresses that callers should use.
func (f *Fleet) ClientAddresses(zone, region string, allowed []string) []string {
	status := f.status()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.ClientAddresses(zone, region, status, allowed, time.Now())
}

// ColdRate gives the host's part of a cold upstream's rate.
func (f *Fleet) WarmUpQuota(upstream, region string, total float64) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.WarmUpQuota(upstream, region, total, time.Now())
}

// Hosts is how many hosts are known, this one included.
func (f *Fleet) Hosts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	all, _, _ := f.members.Count("", time.Now())
	return all
}

// TCP is the transport of real hosts. Its connections notice a silent cut.
type TCP struct {
	Dialer interface {
		DialContext(ctx context.Context, network, address string) (net.Conn, error)
	}
}

// Dial connects to a peer.
func (t TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	return t.Dialer.DialContext(ctx, "tcp", address)
}

// Listen takes connections of peers.
func (TCP) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }
