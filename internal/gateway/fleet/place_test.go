package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/quota"
)

// settingsZones are the zones of nineHostsList.
var settingsZones = map[string]string{
	"west-0": "west", "west-1": "west", "east-0": "east", "east-1": "east", "south-0": "south", "south-1": "south",
}

func TestTheLayoutHasTheHostsOfEachZone(t *testing.T) {
	now := time.Now()
	m := nineHosts("west0", now)
	assignment := m.limitAssignment(settingsZones, nil, now)
	require.True(t, assignment.HoldsShards)
	require.Len(t, assignment.Layout.Zones, 6)
	var names []string
	for _, z := range assignment.Layout.Zones {
		names = append(names, z.Name)
		if z.Name == "west-0" {
			require.Equal(t, []string{"west0", "west1"}, z.Large)
		}
	}
	require.Equal(t, []string{"east-0", "east-1", "south-0", "south-1", "west-0", "west-1"}, names)
	require.Same(t, assignment, m.limitAssignment(settingsZones, assignment, now.Add(time.Second)), "unchanged while nothing changes")
}

// Two hosts that hold the same shard admit twice its requests. A host that is new to its
// zone therefore waits until a host that is cut off from the zone, and does not learn of
// the new one, has given up its shards.
func TestAShardNeverHasTwoHolders(t *testing.T) {
	now := time.Now()
	cutOff := nineHosts("west0", now) // receives nothing from now on
	newHost := startedMembers(host("west9", "west-0", "west"), nineHostsList(), now)
	lastHeld, firstTaken := time.Duration(0), time.Duration(-1)
	for at := time.Duration(0); at < 20*time.Second; at += 100 * time.Millisecond {
		if cutOff.holdsShards(now.Add(at)) {
			lastHeld = at
		}
		for _, h := range nineHostsList() {
			if h.Name != "west0" {
				newHost.recordHeartbeat(h, readyStatus, now.Add(at))
			}
		}
		if firstTaken < 0 && newHost.holdsShards(now.Add(at)) {
			firstTaken = at
		}
	}
	require.Greater(t, firstTaken, lastHeld)
	t.Logf("released after %s, taken after %s", lastHeld, firstTaken)
}

// After all hosts were killed at the same time, they held no share of any limit for more
// than a second, and all requests of the reconnecting clients were refused.
func TestARestartedHostHoldsItsShardsAtOnce(t *testing.T) {
	now := time.Now()
	m := newMembers(host("west0", "west-0", "west"), []string{"west", "east", "south"}, now)
	require.False(t, m.limitAssignment(settingsZones, nil, now).HoldsShards, "it does not know its zone yet")
	before := m.limitAssignment(settingsZones, nil, now)
	read := now.Add(time.Second)
	m.addList("west", listings(nineHostsList()[:3]), true, read)
	m.announcedBefore = true
	assignment := m.limitAssignment(settingsZones, before, read)
	require.True(t, assignment.HoldsShards)
	require.Equal(t, now, assignment.HeldSince, "the shards fill from the start of the process")
	m.addList("east", listings(nineHostsList()[3:6]), true, read.Add(time.Second))
	later := m.limitAssignment(settingsZones, assignment, read.Add(time.Second))
	require.NotSame(t, assignment, later)
	require.Equal(t, now, later.HeldSince, "a change in another zone has no effect")
	m.addKnown(host("west8", "west-0", "west"), read.Add(2*time.Second))
	last := m.limitAssignment(settingsZones, later, read.Add(2*time.Second))
	require.Equal(t, read.Add(2*time.Second), last.HeldSince, "a shard that moves starts empty")
}

func TestTheShardsOfAHostThatStopsGoToItsZone(t *testing.T) {
	now := time.Now()
	m := nineHosts("west0", now)
	zoneOf := func() quota.Zone {
		for _, z := range m.limitAssignment(settingsZones, nil, now).Layout.Zones {
			if z.Name == "west-0" {
				return z
			}
		}
		return quota.Zone{}
	}
	require.Equal(t, []string{"west0", "west1"}, zoneOf().Large)
	stopping := host("west1", "west-0", "west")
	m.recordHeartbeat(stopping, Status{Ready: true, Leaving: true}, now)
	require.Equal(t, []string{"west0", "west1"}, zoneOf().Large, "a leaving host may hold shards until it has withdrawn")
	m.recordHeartbeat(stopping, Status{Ready: true, Leaving: true, Withdrawn: true}, now)
	require.Equal(t, []string{"west0"}, zoneOf().Large)
	stopping.Incarnation = "2"
	m.recordHeartbeat(stopping, readyStatus, now)
	require.Equal(t, []string{"west0", "west1"}, zoneOf().Large, "the others release its shards now, and it takes them later")
}

func TestHoldsShards(t *testing.T) {
	now := time.Now()
	newHostReceiving := func(names ...string) func() *members {
		return func() *members {
			m := startedMembers(host("west9", "west-0", "west"), nineHostsList(), now)
			for _, name := range names {
				m.recordHeartbeat(host(name, "west-0", "west"), readyStatus, now.Add(newHostDelay))
			}
			return m
		}
	}
	for _, c := range []struct {
		name    string
		members func() *members
		at      time.Duration
		holds   bool
	}{
		{"running", func() *members { return nineHosts("west0", now) }, 0, true},
		{"stopping", func() *members { m := nineHosts("west0", now); m.withdrawn = true; return m }, 0, false},
		{"isolated from its zone", func() *members { return nineHosts("west0", now) }, isolationTimeout + time.Second, false},
		{"alone in its zone", func() *members { return nineHosts("west2", now) }, time.Hour, true},
		{"new, has not received heartbeats from all of its zone", newHostReceiving("west0"), newHostDelay - time.Second, false},
		{"the same after newHostDelay", newHostReceiving("west0"), newHostDelay, true},
		{"new, has received heartbeats from all of its zone", newHostReceiving("west0", "west1"), 2 * time.Second, true},
		{"new and alone in its zone", func() *members { return startedMembers(host("west9", "west-9", "west"), nineHostsList(), now) }, 2 * time.Second, true},
		{"first start of the deployment", func() *members {
			m := startedMembers(host("west9", "west-0", "west"), nineHostsList(), now)
			m.firstStart = true
			return m
		}, 2 * time.Second, true},
		{"list not read", func() *members { return newMembers(host("west0", "west-0", "west"), []string{"west"}, now) }, time.Hour, false},
	} {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.holds, c.members().holdsShards(now.Add(c.at))) })
	}
}

// fixedTokenProvider grants as many tokens as requested, but only for one account.
type fixedTokenProvider struct{}

func (fixedTokenProvider) GrantTokens(request quota.TokenRequest) quota.TokenResponse {
	if request.Account != "rail" {
		return quota.TokenResponse{}
	}
	return quota.TokenResponse{Tokens: request.Tokens}
}

func TestAHostRequestsTokensFromAnother(t *testing.T) {
	registry := newFakeRegistry()
	a := startFleet(t, registry, host("a", "z", "west"), nil)
	b := startFleet(t, registry, host("b", "z", "west"), nil)
	b.options.Tokens = fixedTokenProvider{}
	require.Eventually(t, func() bool { return a.Hosts() == 2 }, 5*time.Second, 10*time.Millisecond)
	response, err := a.RequestTokens(t.Context(), "b", quota.TokenRequest{Account: "rail", Tokens: 700})
	require.NoError(t, err)
	require.Equal(t, 700, response.Tokens)
	response, err = a.RequestTokens(t.Context(), "b", quota.TokenRequest{Account: "yard", Tokens: 700})
	require.NoError(t, err)
	require.Zero(t, response.Tokens)
	_, err = a.RequestTokens(t.Context(), "nobody", quota.TokenRequest{})
	require.ErrorContains(t, err, "nobody")
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err = b.RequestTokens(ctx, "a", quota.TokenRequest{Account: "rail", Tokens: 1})
	require.Error(t, err, "a grants no tokens")
}
