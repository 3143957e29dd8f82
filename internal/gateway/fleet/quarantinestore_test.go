package fleet

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/poison"
)

// guardedRegistry is a registry that counts writes of quarantines, and may refuse or delay
// them.
type guardedRegistry struct {
	*fakeRegistry
	refused bool
	delay   time.Duration
	writes  int
}

func (r *guardedRegistry) Quarantine(ctx context.Context, region string, q StoredQuarantine) error {
	r.mu.Lock()
	r.writes++
	refused, delay := r.refused, r.delay
	r.mu.Unlock()
	time.Sleep(delay)
	if refused {
		return errors.New("refused")
	}
	return r.fakeRegistry.Quarantine(ctx, region, q)
}

// writeCount returns the number of writes of quarantines.
func (r *guardedRegistry) writeCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.writes
}

// set sets whether writes are refused, and after which time.
func (r *guardedRegistry) set(refused bool, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused, r.delay = refused, delay
}

// has reports whether a quarantine is stored under a region.
func (r *guardedRegistry) has(region string, f poison.Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.quarantines[quarantineKey{region, f}]
	return ok
}

// The host that saw all terminations could not write, and was killed. It alone was
// responsible for the quarantine, so that the request was sent again after a restart of all
// hosts.
func TestAQuarantineIsStoredThoughTheHostThatDecidedItEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refusing := &guardedRegistry{fakeRegistry: newFakeRegistry(), refused: true}
		a, stopA := startStoringHost(t, refusing, "a")
		shared := &guardedRegistry{fakeRegistry: refusing.fakeRegistry}
		b, _ := startStoringHost(t, shared, "b")
		f := poison.Content{Target: "/x"}.Fingerprint()
		a.quarantine(f)
		a.sendHeartbeat(b)
		stopA()
		time.Sleep(time.Second)
		require.True(t, b.table.Quarantined(f, time.Now()))
		require.True(t, shared.has("west", f))
	})
}

// storingHost is a host that stores quarantines, without other hosts.
type storingHost struct {
	hostWithSuspicions
	registry *guardedRegistry
}

func newStoringHost(r *guardedRegistry, name string) storingHost {
	o := &observer{}
	table := poison.NewTable(name, time.Now(), o)
	o.fleet = New(Options{Self: host(name, "west-0", "west"), Regions: []string{"west", "east"}, Registry: r, Report: noopReporter{}, Suspicions: table})
	return storingHost{hostWithSuspicions{o.fleet, table}, r}
}

// sendHeartbeat sends a heartbeat of a host that serves.
func (h storingHost) sendHeartbeat(to storingHost) {
	to.recordHeartbeat(h.withSuspicions(heartbeat{Host: h.options.Self, Status: readyStatus}, to.options.Self.Name))
}

// startStoringHost starts a host whose only task is to store quarantines, until stop is
// called or the test ends.
func startStoringHost(t *testing.T, r *guardedRegistry, name string) (h storingHost, stop func()) {
	h = newStoringHost(r, name)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		synctest.Wait()
	})
	go h.keepQuarantinesStored(ctx)
	return h, cancel
}

// A host gave up after five writes in ten seconds, while stores are down for minutes. A
// store that is down must not get more calls than one host may make, either.
func TestAQuarantineIsStoredOnceTheStoreIsBack(t *testing.T) {
	for _, c := range []struct {
		name  string
		delay time.Duration
	}{{"refused at once", 0}, {"no response", 2 * time.Second}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, _ := startStoringHost(t, &guardedRegistry{fakeRegistry: newFakeRegistry()}, "a")
				h.registry.set(true, c.delay)
				f := poison.Content{Target: "/x"}.Fingerprint()
				h.quarantine(f)
				time.Sleep(5 * time.Minute)
				require.LessOrEqual(t, h.registry.writeCount(), int(5*time.Minute/quarantineRetryDelay)+1)
				h.registry.set(false, 0)
				time.Sleep(c.delay + 2*quarantineRetryDelay)
				require.True(t, h.registry.has("west", f))
				require.True(t, h.registry.has("east", f))
			})
		})
	}
}

// A write that is under way at the release would leave a row that no host removes.
func TestAQuarantineThatIsReleasedDuringItsWriteIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _ := startStoringHost(t, &guardedRegistry{fakeRegistry: newFakeRegistry()}, "a")
		h.registry.set(false, time.Second)
		f := poison.Content{Target: "/x"}.Fingerprint()
		h.quarantine(f)
		h.table.Release(f)
		time.Sleep(5 * time.Second)
		require.Zero(t, h.registry.quarantined())
	})
}

// The row of a request that is tried again after its quarantine, and terminates one more
// upstream, had only the earlier terminations. After a restart of all hosts the request was
// sent again.
func TestAQuarantineIsStoredAgainAfterALaterTermination(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _ := startStoringHost(t, &guardedRegistry{fakeRegistry: newFakeRegistry()}, "a")
		f := poison.Content{Target: "/x"}.Fingerprint()
		h.quarantine(f)
		time.Sleep(time.Second)
		writes := h.registry.writeCount()
		h.recordTermination(f, "straggler")
		time.Sleep(12 * time.Minute)
		require.Equal(t, writes, h.registry.writeCount(), "one more within seconds needs no write")
		require.False(t, h.table.Quarantined(f, time.Now()))
		h.recordTermination(f, "again")
		time.Sleep(2 * quarantineCheckInterval)
		require.Equal(t, 2*writes, h.registry.writeCount())
		started := newStoringHost(h.registry, "b")
		_, _ = started.readLists(t.Context(), []string{"west"}, true)
		require.True(t, started.table.Quarantined(f, time.Now()))
	})
}

// Not every host may write each quarantine: with 986 hosts that would be about a second of
// all writes that the store accepts. The hosts that saw terminations write three rows each,
// and two hosts of each region one.
func TestFewHostsStoreAQuarantine(t *testing.T) {
	regions := []string{"west", "east", "south"}
	f := poison.Fingerprint{1}
	now := time.Now()
	for _, c := range []struct {
		name         string
		large, small int
	}{{"88 hosts", 2, 13}, {"78 hosts", 2, 11}, {"986 hosts", 22, 143}} {
		t.Run(c.name, func(t *testing.T) {
			r := &guardedRegistry{fakeRegistry: newFakeRegistry()}
			all := largeAndSmall("west", c.large, c.small)
			view := membersOf(Host{Name: "observer", Region: "west"}, all, now)
			for i, self := range all {
				q := poison.Quarantine{Fingerprint: f, Own: i%((len(all)+2)/3) == 1, Last: now, Report: poison.Report{Fingerprint: f}}
				o := New(Options{Self: self, Regions: regions, Registry: r, Report: noopReporter{}, Suspicions: quarantines{q}})
				o.members.peers = maps.Clone(view.peers)
				delete(o.members.peers, self.Name)
				o.members.index = nil
				for {
					next, _, ok := o.nextQuarantineWrite(now)
					if !ok {
						break
					}
					require.True(t, o.writeQuarantine(t.Context(), next))
				}
			}
			t.Logf("%d writes by the hosts of a region", r.writes)
			require.LessOrEqual(t, r.writes, 3*len(regions)+quarantineWriters)
			for _, region := range regions {
				require.True(t, r.has(region, f))
			}
		})
	}
}

// The host that last wrote to the store is killed first, and others stop.
func TestTheNextHostsKeepQuarantinesWhenTheFirstEnd(t *testing.T) {
	now := time.Now()
	all := largeAndSmall("west", 2, 11)
	writers := func(change func(m *members)) (names []string) {
		for _, self := range all {
			m := membersOf(self, all, now)
			change(m)
			if m.writesQuarantines(now) {
				names = append(names, self.Name)
			}
		}
		return names
	}
	first := writers(func(*members) {})
	require.Len(t, first, quarantineWriters)
	killed := writers(func(m *members) {
		if p := m.peers[first[0]]; p != nil {
			p.lastHeartbeat = now.Add(-deadTimeout)
		}
	})
	require.Contains(t, killed, first[1])
	require.Greater(t, len(killed), quarantineWriters, fmt.Sprint("the killed host in its own view, ", first[1], " and another"))
	leaving := writers(func(m *members) {
		for _, name := range first {
			if p := m.peers[name]; p != nil {
				p.status.Leaving = true
			}
		}
	})
	require.Len(t, leaving, 2*quarantineWriters, "those that leave in their own view, and two others")
}
