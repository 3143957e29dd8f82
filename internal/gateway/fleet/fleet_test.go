package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/watch"
	"cairndock/internal/peer"
)

func host(name, zone, region string) Host {
	return Host{Name: name, Zone: zone, Region: region, ClientAddress: name + ":80", Incarnation: "1"}
}

var readyStatus = Status{Ready: true}

// nine gives the members of nine hosts in three regions, as one sees them.
func nine(self string, now time.Time) *Members {
	var m *Members
	var all []Host
	for _, region := range []string{"west", "east", "south"} {
		for i := range 3 {
			all = append(all, host(fmt.Sprint(region, i), region+"-"+fmt.Sprint(i/2), region))
		}
	}
	for _, h := range all {
		if h.Name == self {
			m = NewMembers(h)
		}
	}
	for _, h := range all {
		m.RecordHeartbeat(h, readyStatus, now)
	}
	return m
}

func TestEntriesAreTheNearestLivingHosts(t *testing.T) {
	now := time.Now()
	m := nine("west0", now)
	require.Equal(t, []string{"west0:80", "west1:80"}, m.ClientAddresses("west-0", "west", readyStatus, nil, now))
	require.Equal(t, []string{"west2:80"}, m.ClientAddresses("west-1", "west", readyStatus, nil, now))
	m.RecordHeartbeat(host("west2", "west-1", "west"), Status{Ready: true, Leaving: true}, now)
	require.Equal(t, []string{"west0:80", "west1:80"}, m.ClientAddresses("west-1", "west", readyStatus, nil, now), "the region when the zone has none")
	later := now.Add(DeadAfter)
	require.Equal(t, []string{"west0:80"}, m.ClientAddresses("east-0", "east", readyStatus, nil, later), "the dead are not named")
	require.Empty(t, m.ClientAddresses("east-0", "east", Status{}, nil, later))
}

func TestEntriesPreferTheRegionsAllowed(t *testing.T) {
	now := time.Now()
	m := nine("west0", now)
	require.Equal(t, []string{"south0:80", "south1:80", "south2:80"}, m.ClientAddresses("north-0", "north", readyStatus, []string{"south"}, now))
}

// Whatever the hosts believe of each other, together they send a cold
// upstream no more than its rate.
func TestColdPartsAddUpUnderAnyBeliefs(t *testing.T) {
	now := time.Now()
	const total = 26
	names := []string{"west0", "west1", "west2", "east0", "east1", "east2", "south0", "south1", "south2"}
	for beliefs := range 1 << 3 {
		sum := 0
		for i, name := range names {
			m := nine(name, now)
			at := now
			if beliefs>>(i%3)&1 == 1 { // this one hears nobody
				at = now.Add(DeadAfter + time.Second)
			}
			sum += m.WarmUpQuota("i-1", "west", total, at)
		}
		require.LessOrEqual(t, sum, total)
		require.Positive(t, sum)
	}
}

// With more hosts than the rate has requests, each upstream has a few hosts
// of its own, and all hosts have some upstream.
func TestColdPartsAddUpWithManyHosts(t *testing.T) {
	now := time.Now()
	const hosts, total = 27, 16.4
	var all []Host
	for i := range hosts {
		all = append(all, host(fmt.Sprint("west", i), "west-0", "west"))
	}
	served := map[string]bool{}
	for upstream := range 40 {
		sum := 0
		for _, self := range all {
			m := NewMembers(self)
			for _, h := range all {
				m.RecordHeartbeat(h, readyStatus, now)
			}
			n := m.WarmUpQuota(fmt.Sprint("i-", upstream), "west", total, now)
			sum += n
			if n > 0 {
				served[self.Name] = true
			}
		}
		require.LessOrEqual(t, float64(sum), total)
		require.Positive(t, sum)
	}
	require.Len(t, served, hosts)
}

func TestOneHostOfARegionAsksTheStore(t *testing.T) {
	now := time.Now()
	watchers := map[string]bool{}
	for _, name := range []string{"west0", "west1", "west2"} {
		h, self := nine(name, now).source(true, now)
		require.Equal(t, self, h.Name == name)
		watchers[h.Name] = true
	}
	require.Len(t, watchers, 1)
	// When it is silent, another takes its place.
	var gone string
	for name := range watchers {
		gone = name
	}
	for _, name := range []string{"west0", "west1", "west2"} {
		if name == gone {
			continue
		}
		m := nine(name, now)
		later := now.Add(DeadAfter)
		m.RecordHeartbeat(host("west0", "west-0", "west"), readyStatus, later)
		m.RecordHeartbeat(host("west1", "west-0", "west"), readyStatus, later)
		m.RecordHeartbeat(host("west2", "west-1", "west"), readyStatus, later)
		m.forget(gone)
		h, _ := m.source(true, later)
		require.NotEqual(t, gone, h.Name)
	}
}

// No host of a large region has to send a change to more than a few others.
func TestTheHostsOfARegionFormATree(t *testing.T) {
	now := time.Now()
	const hosts = 100
	sources := map[string]string{}
	children := map[string]int{}
	for i := range hosts {
		m := NewMembers(host(fmt.Sprint("west", i), "west-0", "west"))
		for j := range hosts {
			m.RecordHeartbeat(host(fmt.Sprint("west", j), "west-0", "west"), readyStatus, now)
		}
		h, self := m.source(true, now)
		if self {
			continue
		}
		sources[m.Self().Name] = h.Name
		children[h.Name]++
	}
	require.Len(t, sources, hosts-1, "one asks the store")
	for name, n := range children {
		require.LessOrEqual(t, n, relayFanout, name)
	}
	for name := range sources {
		depth := 0
		for at, ok := sources[name]; ok; at, ok = sources[at] {
			depth++
		}
		require.LessOrEqual(t, depth, 3)
	}
}

// Hosts that differ in what they believe must not ask each other in a ring.
func TestSourcesNeverFormARing(t *testing.T) {
	now := time.Now()
	for beliefs := range 1 << 6 {
		sources := map[string]string{}
		for i := range 3 {
			m := NewMembers(host(fmt.Sprint("west", i), "west-0", "west"))
			for j := range 3 {
				if i != j && beliefs>>(2*i+(j+3-i)%3-1)&1 == 1 {
					m.RecordHeartbeat(host(fmt.Sprint("west", j), "west-0", "west"), readyStatus, now)
				}
			}
			if h, self := m.source(true, now); !self {
				sources[m.Self().Name] = h.Name
			}
		}
		for name := range sources {
			at := name
			for range 3 {
				at = sources[at]
				require.NotEqual(t, name, at)
			}
		}
	}
}

// Before there is a configuration no host is ready, and still only one asks.
func TestHostsThatStartTogetherAskOneHost(t *testing.T) {
	now := time.Now()
	asking := 0
	for _, name := range []string{"west0", "west1", "west2"} {
		m := nine(name, now)
		for _, p := range m.Peers() {
			m.RecordHeartbeat(p.Host, Status{}, now)
		}
		if _, self := m.source(false, now); self {
			asking++
		}
		_, self := m.source(true, now)
		require.True(t, self, "a host that is ready relies on none that is not")
	}
	require.Equal(t, 1, asking)
}

func TestAHostThatIsSilentIsToldOnceAndForgottenLater(t *testing.T) {
	now := time.Now()
	m := nine("west0", now)
	m.HeartbeatPeers(now)
	dead := m.TakeExpired(now, now.Add(DeadAfter))
	require.Len(t, dead, 2+2*remoteFanout, "those it exchanges heartbeats with")
	require.Empty(t, m.TakeExpired(now.Add(DeadAfter), now.Add(DeadAfter+time.Second)))
	all, _, _ := m.Count("west", now.Add(DeadAfter))
	require.Equal(t, 9, all, "limits stay split over hosts that may only be silent")
	m.TakeExpired(now, now.Add(2*forgetAfter))
	all, _, _ = m.Count("west", now)
	require.Equal(t, 1, all)
}

// Heartbeats between regions grow with hosts, not with their square.
func TestAHostFollowsItsRegionAndAFewOfEachOther(t *testing.T) {
	now := time.Now()
	const regionHosts = 40
	var all []Host
	for _, region := range []string{"west", "east", "south"} {
		for i := range regionHosts {
			all = append(all, host(fmt.Sprint(region, i), region+"-0", region))
		}
	}
	followers := map[string]int{}
	for _, self := range all {
		m := NewMembers(self)
		for _, h := range all {
			m.RecordHeartbeat(h, readyStatus, now)
		}
		contacts := m.HeartbeatPeers(now)
		require.Len(t, contacts, regionHosts-1+2*remoteFanout)
		for _, p := range contacts {
			followers[p.Host.Name]++
		}
	}
	for _, h := range all {
		require.LessOrEqual(t, followers[h.Name], regionHosts-1+6*remoteFanout, "choices are spread")
	}
}

func TestTheDeadOfAnotherRegionAreReplaced(t *testing.T) {
	now := time.Now()
	m := nine("west0", now)
	var chosen []string
	for _, p := range m.HeartbeatPeers(now) {
		if p.Host.Region == "east" {
			chosen = append(chosen, p.Host.Name)
		}
	}
	require.Len(t, chosen, remoteFanout)
	later := now.Add(DeadAfter)
	for _, p := range m.Peers() {
		if p.Host.Name != chosen[0] {
			m.RecordHeartbeat(p.Host, readyStatus, later)
		}
	}
	east := 0
	for _, p := range m.HeartbeatPeers(later) {
		if p.Host.Region == "east" {
			east++
		}
	}
	require.Equal(t, 3, east, "the dead one is tried on beside two that live")
}

// Limits are split over all hosts, of which a host hears only some.
func TestHostsThatOthersTellOfAreNotForgotten(t *testing.T) {
	now := time.Now()
	m := nine("west0", now)
	later := now.Add(forgetAfter + time.Second)
	m.AddKnown(host("east0", "east-0", "east"), later.Add(-askEvery))
	m.TakeExpired(later, later)
	all, _, _ := m.Count("west", later)
	require.Equal(t, 2, all)
}

func TestAHostAsksAllAtFirstAndThenOneOfEachRegionNowAndThen(t *testing.T) {
	now := time.Now()
	f := New(Options{Self: host("west0", "west-0", "west")})
	require.Equal(t, askAll, f.ask("", now))
	require.Equal(t, askNothing, f.ask("east", now), "one at a time")
	now = now.Add(heartbeatTimeout)
	require.Equal(t, askAll, f.ask("east", now), "the first did not answer")
	f.asked = true
	require.Equal(t, askRegion, f.ask("east", now))
	require.Equal(t, askNothing, f.ask("east", now.Add(time.Second)))
	require.Equal(t, askRegion, f.ask("south", now.Add(time.Second)))
	require.Equal(t, askNothing, f.ask("west", now))
	require.Equal(t, askRegion, f.ask("east", now.Add(askEvery)))
}

// One exchange tells both hosts; the other need not begin one as well.
func TestAHeartbeatTakenPutsOffTheOwn(t *testing.T) {
	f := New(Options{Self: host("west0", "west-0", "west")})
	other := host("west1", "west-0", "west")
	now := time.Now()
	f.members.RecordHeartbeat(other, readyStatus, now)
	f.next[other.Name] = now
	f.postpone(other.Name)
	require.Empty(t, f.due(now.Add(heartbeatEvery/2)))
	require.Len(t, f.due(now.Add(2*heartbeatEvery)), 1)
	require.Less(t, heartbeatEvery+tick+heartbeatTimeout, DeadAfter, "a host that only answers is not taken for dead")
}

func TestARestartIsANewLife(t *testing.T) {
	now := time.Now()
	m := nine("west0", now)
	h := host("west1", "west-0", "west")
	require.False(t, m.RecordHeartbeat(h, readyStatus, now))
	h.Incarnation = "2"
	require.True(t, m.RecordHeartbeat(h, readyStatus, now))
}

// registry is a list of hosts in memory.
type registry struct {
	mu    sync.Mutex
	hosts map[string]Host
	down  bool
}

func (r *registry) Announce(_ context.Context, h Host) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return errors.New("down")
	}
	r.hosts[h.Name] = h
	return nil
}

func (r *registry) Withdraw(_ context.Context, h Host) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.hosts, h.Name)
	return nil
}

func (r *registry) Hosts(context.Context) ([]Host, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Host
	for _, h := range r.hosts {
		out = append(out, h)
	}
	return out, nil
}

// quiet reports nothing.
type quiet struct{}

func (quiet) Lost(string, string, error)             {}
func (quiet) Regained(string, string, time.Duration) {}

// freeAddress gives an address that nobody listens at.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

type plainTCP struct{}

func (plainTCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}
func (plainTCP) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

func startFleet(t *testing.T, r Registry, h Host, seeds []string, tables ...Table) *Fleet {
	t.Helper()
	h.PeerAddress = freeAddress(t)
	f := New(Options{Self: h, Registry: r, Report: quiet{}, Status: func() Status { return readyStatus }, Seeds: seeds, Transport: plainTCP{}, Tables: tables})
	ctx, cancel := context.WithCancel(t.Context())
	require.NoError(t, f.Start(ctx))
	t.Cleanup(func() {
		cancel()
		f.Close()
	})
	return f
}

func TestHostsFindEachOtherByTheRegistry(t *testing.T) {
	r := &registry{hosts: map[string]Host{}}
	a := startFleet(t, r, host("a", "z", "west"), nil)
	b := startFleet(t, r, host("b", "z", "west"), nil)
	for _, f := range []*Fleet{a, b} {
		require.Eventually(t, func() bool { return len(f.ClientAddresses("z", "west", nil)) == 2 }, 3*time.Second, 20*time.Millisecond)
	}
}

func TestHostsFindEachOtherBySeedsWhenTheRegistryIsDown(t *testing.T) {
	r := &registry{hosts: map[string]Host{}, down: true}
	a := startFleet(t, r, host("a", "z", "west"), nil)
	b := startFleet(t, r, host("b", "z", "west"), []string{a.members.Self().PeerAddress})
	c := startFleet(t, r, host("c", "z", "west"), []string{a.members.Self().PeerAddress})
	for _, f := range []*Fleet{a, b, c} {
		require.Eventually(t, func() bool { return len(f.ClientAddresses("z", "west", nil)) >= 2 }, 3*time.Second, 20*time.Millisecond)
	}
}

func TestATableIsRelayed(t *testing.T) {
	r := &registry{hosts: map[string]Host{}}
	replica := watch.NewReplica()
	store := watch.NewReplica()
	a := startFleet(t, r, host("a", "z", "west"), nil, Table{Replica: replica, Store: store})
	b := startFleet(t, r, host("b", "z", "west"), nil, Table{Replica: watch.NewReplica(), Store: store})
	from := relay{fleet: b, address: a.members.Self().PeerAddress}
	_, err := from.List(t.Context())
	require.ErrorIs(t, err, watch.ErrHistoryGone, "a host that knows nothing says so")
	require.Eventually(t, func() bool { return len(b.Sources(0)) >= 1 }, time.Second, 10*time.Millisecond)
}

func TestFrameOfAnUnknownKindFails(t *testing.T) {
	r := &registry{hosts: map[string]Host{}}
	a := startFleet(t, r, host("a", "z", "west"), nil)
	b := startFleet(t, r, host("b", "z", "west"), nil)
	_, err := peer.Call[relayReply](t.Context(), b.mesh, a.members.Self().PeerAddress, peer.KindTicket, heartbeat{})
	require.Error(t, err)
	_, err = peer.Call[relayReply](t.Context(), b.mesh, a.members.Self().PeerAddress, peer.KindChanges, relayRequest{Table: 7})
	require.Error(t, err)
}
