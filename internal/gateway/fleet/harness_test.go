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

	"cairndock/internal/peer"
)

var readyStatus = Status{Ready: true}

func host(name, zone, region string) Host {
	return Host{Name: name, Zone: zone, Region: region, ClientAddress: name + ":80", Incarnation: "1"}
}

// regionHosts returns hosts of one region and zone, named by the region and a
// number.
func regionHosts(region string, count int) []Host {
	hosts := make([]Host, 0, count)
	for i := range count {
		hosts = append(hosts, host(fmt.Sprint(region, i), region+"-0", region))
	}
	return hosts
}

// membersOf returns one host's view in which all hosts are alive and ready.
func membersOf(self Host, all []Host, now time.Time) *members {
	m := newMembers(self)
	for _, h := range all {
		m.recordHeartbeat(h, readyStatus, now)
	}
	return m
}

// nineHostsList returns nine hosts in the regions west, east and south, each with
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

// nineHosts returns the view of one of nineHostsList, which has run for long.
func nineHosts(self string, now time.Time) *members {
	for _, h := range nineHostsList() {
		if h.Name == self {
			return membersOf(h, nineHostsList(), now)
		}
	}
	return nil
}

// nineHostsAfterRestart is nineHosts of a host whose process has just started.
func nineHostsAfterRestart(self string, now time.Time) *members { return nineHosts(self, now) }

// fakeRegistry is a registry in memory.
type fakeRegistry struct {
	mu    sync.Mutex
	hosts map[string]Host
	down  bool
}

func newFakeRegistry() *fakeRegistry { return &fakeRegistry{hosts: map[string]Host{}} }

func (r *fakeRegistry) Announce(_ context.Context, h Host) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return errors.New("down")
	}
	r.hosts[h.Name] = h
	return nil
}

func (r *fakeRegistry) Withdraw(_ context.Context, h Host) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.hosts, h.Name)
	return nil
}

func (r *fakeRegistry) Hosts(context.Context) ([]Host, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Host
	for _, h := range r.hosts {
		out = append(out, h)
	}
	return out, nil
}

// noReport drops reports.
type noReport struct{}

func (noReport) Lost(string, string, error)             {}
func (noReport) Regained(string, string, time.Duration) {}

// freeAddress returns an address that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// startFleet runs a host on the loopback interface until the test ends.
func startFleet(t *testing.T, r Registry, h Host, seeds []string, tables ...Table) *Fleet {
	t.Helper()
	h.PeerAddress = freeAddress(t)
	f := New(Options{
		Self: h, Registry: r, Report: noReport{}, Status: func() Status { return readyStatus },
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
