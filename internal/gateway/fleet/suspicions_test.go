package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/peer"
	"cairndock/internal/poison"
	"cairndock/internal/testaddr"
)

// observer handles the events of suspicions as a gateway does.
type observer struct{ fleet *Fleet }

func (o *observer) SuspicionsChanged()                 { o.fleet.TriggerAllHeartbeats() }
func (*observer) UpstreamTerminated(string, time.Time) {}

func (o *observer) Quarantined(poison.Quarantine) { o.fleet.StoreQuarantines() }

func (o *observer) Released(f poison.Fingerprint, own bool) {
	if own {
		go o.fleet.RemoveQuarantine(context.Background(), f)
	}
}

// hostWithSuspicions is a running host with its suspicions.
type hostWithSuspicions struct {
	*Fleet
	table *poison.Table
}

func startHostWithSuspicions(t *testing.T, r Registry, h Host) hostWithSuspicions {
	t.Helper()
	h.PeerAddress = testaddr.Free(t)
	o := &observer{}
	table := poison.NewTable(h.Name+h.Incarnation, time.Now(), o)
	f := New(Options{
		Self: h, Regions: []string{"west", "east", "south"}, Registry: r, Report: noopReporter{}, Status: func() Status { return readyStatus },
		Suspicions: table, Transport: peer.TCP((&net.Dialer{}).DialContext),
	})
	o.fleet = f
	require.NoError(t, f.Start(t.Context()))
	t.Cleanup(f.mesh.Close)
	return hostWithSuspicions{f, table}
}

func (h hostWithSuspicions) recordTermination(f poison.Fingerprint, run string) {
	now := time.Now()
	h.table.RecordTermination(f, poison.Attempt{Run: run, Began: now.Add(-20 * time.Millisecond), Ended: now})
}

// quarantine lets the host see a request terminate three upstreams in turn.
func (h hostWithSuspicions) quarantine(f poison.Fingerprint) {
	for i := range 3 {
		h.recordTermination(f, fmt.Sprint("run-", i))
		time.Sleep(30 * time.Millisecond)
	}
}

// The request reaches a host of another region each time. A host that has just started
// and a host that was restarted must learn of the quarantine as well.
func TestAllHostsLearnWhatEachSaw(t *testing.T) {
	r := newFakeRegistry()
	var hosts []hostWithSuspicions
	for _, h := range nineHostsList() {
		hosts = append(hosts, startHostWithSuspicions(t, r, h))
	}
	require.Eventually(t, func() bool {
		for _, h := range hosts {
			if h.Hosts() < len(hosts) {
				return false
			}
		}
		return true
	}, 5*time.Second, 10*time.Millisecond)
	f := poison.Content{Target: "/x"}.Fingerprint()
	for i, at := range []int{0, 4, 8} {
		hosts[at].recordTermination(f, fmt.Sprint("run-", i))
		time.Sleep(300 * time.Millisecond) // so that each is later than the previous one for all hosts
	}
	quarantined := func(hosts ...hostWithSuspicions) func() bool {
		return func() bool {
			for _, h := range hosts {
				if !h.table.Quarantined(f, time.Now()) {
					return false
				}
			}
			return true
		}
	}
	began := time.Now()
	require.Eventually(t, quarantined(hosts...), 3*time.Second, 5*time.Millisecond)
	t.Logf("known to all hosts after %s", time.Since(began))

	added := startHostWithSuspicions(t, r, host("west9", "west-0", "west"))
	require.Eventually(t, quarantined(added), 3*time.Second, 5*time.Millisecond)

	again := hosts[8].options.Self
	again.Incarnation = "2"
	hosts[8].mesh.Close()
	restarted := startHostWithSuspicions(t, r, again)
	require.Eventually(t, quarantined(restarted), 5*time.Second, 5*time.Millisecond)

	hosts[3].table.Release(f)
	released := func() bool {
		for _, h := range append(hosts[:8:8], added, restarted) {
			if h.table.Quarantined(f, time.Now()) {
				return false
			}
		}
		return true
	}
	require.Eventually(t, released, 3*time.Second, 5*time.Millisecond)
}

// While nothing changes, heartbeats carry no suspicions.
func TestSuspicionsAreSentOnce(t *testing.T) {
	r := newFakeRegistry()
	a := startHostWithSuspicions(t, r, host("a", "west-0", "west"))
	b := startHostWithSuspicions(t, r, host("b", "west-0", "west"))
	f := poison.Content{Target: "/x"}.Fingerprint()
	a.recordTermination(f, "run-0")
	require.Eventually(t, func() bool { return b.table.Suspected(f) }, 3*time.Second, 5*time.Millisecond)
	require.Eventually(t, func() bool {
		toB, toA := a.withSuspicions(heartbeat{}, "b"), b.withSuspicions(heartbeat{}, "a")
		return len(toB.Suspicions.Reports) == 0 && len(toA.Suspicions.Reports) == 0
	}, 3*time.Second, 20*time.Millisecond)
}

// When all hosts had stopped at the same time while the request kept coming, three more
// upstreams were terminated, and three more each time that happened.
func TestAQuarantineOutlastsAllHosts(t *testing.T) {
	r := newFakeRegistry()
	f := poison.Content{Target: "/x"}.Fingerprint()
	a := startHostWithSuspicions(t, r, host("a", "west-0", "west"))
	a.quarantine(f)
	require.True(t, a.table.Quarantined(f, time.Now()))
	require.Eventually(t, func() bool { return r.quarantined() == 3 }, time.Second, 5*time.Millisecond, "stored under each region")
	a.mesh.Close()
	b := startHostWithSuspicions(t, r, host("b", "east-0", "east"))
	require.Eventually(t, func() bool { return b.table.Quarantined(f, time.Now()) }, 3*time.Second, 5*time.Millisecond)

	b.table.Release(f)
	require.Eventually(t, func() bool { return r.quarantined() == 0 }, time.Second, 5*time.Millisecond, "whichever host stored it")
	b.mesh.Close()
	c := startHostWithSuspicions(t, r, host("c", "west-0", "west"))
	require.Eventually(t, func() bool { return c.UnreadLists() == 0 }, 3*time.Second, 5*time.Millisecond)
	require.False(t, c.table.Quarantined(f, time.Now()))
}

// A quarantine that was stored long ago is removed by the host that reads it.
func TestAnOldStoredQuarantineIsRemoved(t *testing.T) {
	r := newFakeRegistry()
	f := poison.Content{Target: "/x"}.Fingerprint()
	old := StoredQuarantine{StoredAt: time.Now().Add(-2 * time.Hour).UnixMilli(), Report: poison.Report{Fingerprint: f, Terminations: []poison.Termination{{Run: "a"}, {Run: "b"}, {Run: "c"}}}}
	require.NoError(t, r.Quarantine(t.Context(), "west", old))
	a := startHostWithSuspicions(t, r, host("a", "west-0", "west"))
	require.Eventually(t, func() bool { return r.quarantined() == 0 }, 3*time.Second, 5*time.Millisecond)
	require.True(t, a.table.Empty())
}

// After a restart of all hosts, a quarantined request was sent to one more upstream. The
// quarantine was stored only with the hosts of the region whose host had decided it.
// Hosts of other regions served after they had read their own region's list, and read
// the lists of other regions up to a second later. A quarantine must therefore be known
// as soon as a starting host has read the list of its own region.
func TestAStartingHostKnowsQuarantinesWithItsOwnList(t *testing.T) {
	r := newFakeRegistry()
	f := poison.Content{Target: "/x"}.Fingerprint()
	a := startHostWithSuspicions(t, r, host("a", "west-0", "west"))
	a.quarantine(f)
	require.Eventually(t, func() bool { return r.quarantined() > 0 }, time.Second, 5*time.Millisecond)
	time.Sleep(50 * time.Millisecond) // until it is stored under all regions
	a.mesh.Close()
	b := startHostWithSuspicions(t, r, host("b", "east-0", "east"))
	require.Eventually(t, func() bool { return b.readOwnList() }, time.Second, time.Millisecond)
	require.True(t, b.table.Quarantined(f, time.Now()))
}

// A host serves once it has learned of quarantines, from the registry or from a host
// that serves. While the store is unavailable and no other host runs, it does not wait
// for long.
func TestAStartingHostWaitsForQuarantines(t *testing.T) {
	r := newFakeRegistry()
	r.unreadable = true
	alone := newFleet(r, host("a", "west-0", "west"), []string{"west"})
	require.False(t, alone.KnowsQuarantines())
	starting := heartbeat{Host: host("b", "west-0", "west")}
	alone.recordHeartbeat(starting)
	require.False(t, alone.KnowsQuarantines(), "the peer is starting as well")
	serving := heartbeat{Host: host("b", "west-0", "west"), Status: readyStatus}
	alone.recordHeartbeat(serving)
	require.True(t, alone.KnowsQuarantines())

	second := newFleet(r, host("a", "west-0", "west"), []string{"west"})
	_, _ = second.readLists(t.Context(), []string{"west"}, true)
	require.False(t, second.KnowsQuarantines(), "the registry is unavailable")
	r.unreadable = false
	_, _ = second.readLists(t.Context(), []string{"west"}, true)
	require.True(t, second.KnowsQuarantines())
}

// When all hosts had started while the store was unavailable for longer than
// quarantineTimeout, hosts that had just read the tables served at once, before they
// read the list with the quarantines.
func TestAHostWaitsForQuarantinesFromWhenItCouldServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFakeRegistry()
		f := newFleet(r, host("a", "west-0", "west"), []string{"west"})
		time.Sleep(3 * quarantineTimeout) // the store is unavailable
		require.False(t, f.KnowsQuarantines(), "the tables were read, the list was not")
		time.Sleep(quarantineTimeout)
		require.True(t, f.KnowsQuarantines(), "the list cannot be read")
	})
}

// One host that had waited in vain for the list served, and all hosts that heard of it
// served as well.
func TestAHostThatDoesNotKnowQuarantinesIsNoSourceOfThem(t *testing.T) {
	r := newFakeRegistry()
	f := newFleet(r, host("a", "west-0", "west"), []string{"west"})
	f.recordHeartbeat(heartbeat{Host: host("b", "west-0", "west"), Status: Status{Ready: true, QuarantinesUnknown: true}})
	require.False(t, f.KnowsQuarantines())
}

// A peer that has not noticed a host's restart sends it only what the earlier process did
// not have. The restarted host took that for all quarantines.
func TestARestartedHostLearnsQuarantinesFromAPeerThatKnowsOfItsRestart(t *testing.T) {
	r := &guardedRegistry{fakeRegistry: newFakeRegistry()}
	a, earlier := newStoringHost(r, "a"), newStoringHost(r, "b")
	f := poison.Content{Target: "/x"}.Fingerprint()
	a.quarantine(f)
	for range 2 {
		earlier.sendHeartbeat(a)
		a.sendHeartbeat(earlier)
	}
	require.True(t, earlier.table.Quarantined(f, time.Now()))
	require.True(t, earlier.KnowsQuarantines())
	restarted := newStoringHost(r, "b")
	restarted.options.Self.Incarnation = "2"
	a.sendHeartbeat(restarted)
	require.False(t, restarted.KnowsQuarantines())
	restarted.sendHeartbeat(a)
	a.sendHeartbeat(restarted)
	require.True(t, restarted.table.Quarantined(f, time.Now()))
	require.True(t, restarted.KnowsQuarantines())
}

// slowRegistry is a registry of which one region cannot be read, and whose announcements
// take long and fail.
type slowRegistry struct {
	*fakeRegistry
	unreadable string
}

func (r *slowRegistry) Announce(context.Context, Host) (int64, error) {
	time.Sleep(2 * time.Second)
	return 0, errors.New("no response")
}

func (r *slowRegistry) Read(ctx context.Context, region string) (RegionList, error) {
	if region == r.unreadable {
		return RegionList{}, errors.New("refused")
	}
	return r.fakeRegistry.Read(ctx, region)
}

// A starting host that could not read its own list at once tried to announce itself before
// it read again, and served before that without the quarantines, which it could read.
func TestAStartingHostReadsQuarantinesFromAnyRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &slowRegistry{newFakeRegistry(), "west"}
		f := poison.Content{Target: "/x"}.Fingerprint()
		known := poison.NewTable("z", time.Now(), &observer{fleet: newFleet(r, host("z", "west-0", "west"), []string{"west"})})
		for i := range 3 {
			now := time.Now()
			known.RecordTermination(f, poison.Attempt{Run: fmt.Sprint("run-", i), Began: now, Ended: now.Add(20 * time.Millisecond)})
			time.Sleep(30 * time.Millisecond)
		}
		q := known.Quarantines(time.Now())[0]
		require.NoError(t, r.Quarantine(t.Context(), "east", StoredQuarantine{Report: q.Report, StoredAt: time.Now().UnixMilli()}))
		started := newStoringHost(nil, "a")
		started.options.Registry = r
		ctx, cancel := context.WithCancel(t.Context())
		go started.keepRegistered(ctx)
		go started.readQuarantines(ctx)
		for !started.KnowsQuarantines() {
			time.Sleep(10 * time.Millisecond)
		}
		require.True(t, started.table.Quarantined(f, time.Now()))
		cancel()
		synctest.Wait()
	})
}

// While no list can be read, a host refuses suspected requests, but not for long: requests
// that many clients send are suspected, too.
func TestAHostRefusesSuspectedRequestsForABoundedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFakeRegistry()
		f := newFleet(r, host("a", "west-0", "west"), []string{"west"})
		require.False(t, f.KnowsQuarantines())
		time.Sleep(quarantineTimeout)
		require.True(t, f.KnowsQuarantines())
		require.True(t, f.RefusesSuspected())
		time.Sleep(suspectedTimeout - quarantineTimeout)
		require.False(t, f.RefusesSuspected())

		f = newFleet(r, host("a", "west-0", "west"), []string{"west"})
		require.False(t, f.KnowsQuarantines())
		_, _ = f.readLists(t.Context(), []string{"west"}, true)
		require.False(t, f.RefusesSuspected())
	})
}

// readOwnList reports whether the host has read the list of its own region.
func (h hostWithSuspicions) readOwnList() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.members.lists[h.options.Self.Region].IsZero()
}
