package fleet

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/watch"
	"cairndock/internal/peer"
	"cairndock/internal/poison"
	"cairndock/internal/testaddr"
)

var readyStatus = Status{Ready: true}

func host(name, zone, region string) Host {
	return Host{Name: name, Zone: zone, Region: region, ClientAddress: name + ":80", Incarnation: "1"}
}

// regionHosts returns hosts of one region and zone, named by the region and a number.
func regionHosts(region string, count int) []Host {
	hosts := make([]Host, 0, count)
	for i := range count {
		hosts = append(hosts, host(fmt.Sprint(region, i), region+"-0", region))
	}
	return hosts
}

// listings returns the registry's entries for hosts that were announced once.
func listings(hosts []Host) []Listing {
	var out []Listing
	for _, h := range hosts {
		out = append(out, Listing{Host: h, Version: watch.Version{Number: 1}})
	}
	return out
}

// longUptime exceeds all delays that apply after a host's start.
const longUptime = time.Hour

// regionsOf returns the sorted regions of the given hosts.
func regionsOf(all []Host) []string {
	regions := map[string]bool{}
	for _, h := range all {
		regions[h.Region] = true
	}
	return slices.Sorted(maps.Keys(regions))
}

// membersOf returns the view of a host that has run for longUptime and sees all hosts as
// alive and ready.
func membersOf(self Host, all []Host, now time.Time) *members {
	m := startedMembers(self, all, now.Add(-longUptime))
	for _, h := range all {
		m.recordHeartbeat(h, readyStatus, now)
	}
	return m
}

// startedMembers returns the view of a host that started at the given time and read the
// lists of all hosts then.
func startedMembers(self Host, all []Host, started time.Time) *members {
	m := newMembers(self, regionsOf(all), started)
	for region := range m.lists {
		m.addList(region, nil, true, started)
	}
	for _, h := range all {
		m.addKnown(h, started)
	}
	return m
}

// nineHostsList returns nine hosts in the regions west, east and south. Each region has
// two hosts in zone 0 and one in zone 1.
func nineHostsList() []Host {
	var all []Host
	for _, region := range []string{"west", "east", "south"} {
		for i := range 3 {
			all = append(all, host(fmt.Sprint(region, i), region+"-"+fmt.Sprint(i/2), region))
		}
	}
	return all
}

// nineHosts returns the view of one host of nineHostsList that has run for longUptime.
func nineHosts(self string, now time.Time) *members {
	for _, h := range nineHostsList() {
		if h.Name == self {
			return membersOf(h, nineHostsList(), now)
		}
	}
	return nil
}

// nineHostsAfterRestart is like nineHosts for a host whose process has just started.
func nineHostsAfterRestart(self string, now time.Time) *members {
	m := nineHosts(self, now)
	m.started = now
	return m
}

// fakeRegistry is a registry in memory.
type fakeRegistry struct {
	mu    sync.Mutex
	hosts map[string]Host
	// versions are the versions of the announcements in the store's era.
	versions    map[string]int64
	era         int64
	quarantines map[quarantineKey]StoredQuarantine
	// down makes announcements fail, and unreadable makes reads fail.
	down, unreadable bool
}

func newFakeRegistry() *fakeRegistry {
	return &fakeRegistry{hosts: map[string]Host{}, versions: map[string]int64{}, quarantines: map[quarantineKey]StoredQuarantine{}}
}

func (r *fakeRegistry) setReadable(work bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreadable = !work
}

// list returns the names of the hosts in the registry.
func (r *fakeRegistry) list() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.hosts))
}

// announce announces a host.
func (r *fakeRegistry) announce(ctx context.Context, h Host) error {
	_, err := r.Announce(ctx, h)
	return err
}

func (r *fakeRegistry) Announce(_ context.Context, h Host) (int64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return r.era, errors.New("down")
	}
	r.hosts[h.Name] = h
	r.versions[h.Name]++
	return r.era, nil
}

func (r *fakeRegistry) Withdraw(_ context.Context, h Host) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.hosts, h.Name)
	return nil
}

func (r *fakeRegistry) Read(_ context.Context, region string) (RegionList, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unreadable {
		return RegionList{}, errors.New("unreadable")
	}
	var out RegionList
	for _, h := range r.hosts {
		if h.Region == region {
			out.Hosts = append(out.Hosts, Listing{Host: h, Version: watch.Version{Era: r.era, Number: r.versions[h.Name]}})
		}
	}
	for at, q := range r.quarantines {
		if at.region == region {
			out.Quarantines = append(out.Quarantines, q)
		}
	}
	return out, nil
}

// quarantineKey is the key of a stored quarantine.
type quarantineKey struct {
	region      string
	fingerprint poison.Fingerprint
}

func (r *fakeRegistry) Quarantine(_ context.Context, region string, q StoredQuarantine) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return errors.New("down")
	}
	r.quarantines[quarantineKey{region, q.Report.Fingerprint}] = q
	return nil
}

func (r *fakeRegistry) Release(_ context.Context, region string, f poison.Fingerprint) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.quarantines, quarantineKey{region, f})
	return nil
}

// quarantined is the number of stored quarantines.
func (r *fakeRegistry) quarantined() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.quarantines)
}

// noopReporter drops reports.
type noopReporter struct{}

func (noopReporter) Lost(string, string, error)             {}
func (noopReporter) Regained(string, string, time.Duration) {}
func (noopReporter) Stalled(time.Duration)                  {}
func (noopReporter) BadInput(string, error)                 {}

func (noopReporter) QuarantineStored(poison.Fingerprint, string, int) {}
func (noopReporter) QuarantinesLearned(string)                        {}
func (noopReporter) QuarantinesUnread(time.Duration)                  {}
func (noopReporter) LoadReportsDropped(string, string, int)           {}

// startFleet runs a host on the loopback interface until the test ends.
func startFleet(t *testing.T, r Registry, h Host, seeds []string, tables ...Table) *Fleet {
	t.Helper()
	h.PeerAddress = testaddr.Free(t)
	f := New(Options{
		Self: h, Regions: []string{h.Region}, Registry: r, Report: noopReporter{}, Status: func() Status { return readyStatus },
		Seeds: seeds, Transport: peer.TCP((&net.Dialer{}).DialContext), Tables: tables,
	})
	ctx, cancel := context.WithCancel(t.Context())
	require.NoError(t, f.Start(ctx))
	t.Cleanup(func() {
		cancel()
		f.mesh.Close()
	})
	return f
}
