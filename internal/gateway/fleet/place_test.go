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

func TestEachZoneIsLaidOutWithItsHosts(t *testing.T) {
	now := time.Now()
	m := nineHosts("west0", now)
	place := m.limitPlace(settingsZones, nil, now)
	require.True(t, place.HoldsShards)
	require.Len(t, place.Layout.Zones, 6)
	var names []string
	for _, z := range place.Layout.Zones {
		names = append(names, z.Name)
		if z.Name == "west-0" {
			require.Equal(t, []string{"west0", "west1"}, z.Large)
		}
	}
	require.Equal(t, []string{"east-0", "east-1", "south-0", "south-1", "west-0", "west-1"}, names)
	require.Same(t, place, m.limitPlace(settingsZones, place, now.Add(time.Second)), "the same until something changes")
}

// Two hosts that hold the same shard let pass twice what it has. So a host that is new to
// its zone waits until one that does not hear of it has given up its shards.
func TestAShardNeverHasTwoHolders(t *testing.T) {
	now := time.Now()
	cutOff := nineHosts("west0", now) // hears nobody from now on
	newcomer := startedMembers(host("west9", "west-0", "west"), nineHostsList(), now)
	held, taken := time.Duration(0), time.Duration(-1)
	for at := time.Duration(0); at < 20*time.Second; at += 100 * time.Millisecond {
		if cutOff.holdsShards(now.Add(at)) {
			held = at
		}
		for _, h := range nineHostsList() {
			if h.Name != "west0" {
				newcomer.recordHeartbeat(h, readyStatus, now.Add(at))
			}
		}
		if taken < 0 && newcomer.holdsShards(now.Add(at)) {
			taken = at
		}
	}
	require.Greater(t, taken, held)
	t.Logf("given up after %s, taken after %s", held, taken)
}

// All hosts were killed at once and had no part of any limit for a second and more: all
// requests of the clients that came back were refused.
func TestAHostThatStartsAgainHoldsItsShardsAtOnce(t *testing.T) {
	now := time.Now()
	m := newMembers(host("west0", "west-0", "west"), []string{"west", "east", "south"}, now)
	require.False(t, m.limitPlace(settingsZones, nil, now).HoldsShards, "it does not know its zone yet")
	before := m.limitPlace(settingsZones, nil, now)
	read := now.Add(time.Second)
	m.addList("west", listings(nineHostsList()[:3]), true, read)
	m.announcedBefore = true
	place := m.limitPlace(settingsZones, before, read)
	require.True(t, place.HoldsShards)
	require.Equal(t, now, place.HeldSince, "they fill from the start of the process")
	m.addList("east", listings(nineHostsList()[3:6]), true, read.Add(time.Second))
	later := m.limitPlace(settingsZones, place, read.Add(time.Second))
	require.NotSame(t, place, later)
	require.Equal(t, now, later.HeldSince, "another zone changes nothing here")
	m.addKnown(host("west8", "west-0", "west"), read.Add(2*time.Second))
	last := m.limitPlace(settingsZones, later, read.Add(2*time.Second))
	require.Equal(t, read.Add(2*time.Second), last.HeldSince, "a shard that moves starts empty")
}

func TestTheShardsOfAHostThatStopsGoToItsZone(t *testing.T) {
	now := time.Now()
	m := nineHosts("west0", now)
	zoneOf := func() quota.Zone {
		for _, z := range m.limitPlace(settingsZones, nil, now).Layout.Zones {
			if z.Name == "west-0" {
				return z
			}
		}
		return quota.Zone{}
	}
	require.Equal(t, []string{"west0", "west1"}, zoneOf().Large)
	stopping := host("west1", "west-0", "west")
	m.recordHeartbeat(stopping, Status{Ready: true, Leaving: true}, now)
	require.Equal(t, []string{"west0", "west1"}, zoneOf().Large, "it may hold shards as long as it does not say otherwise")
	m.recordHeartbeat(stopping, Status{Ready: true, Leaving: true, Withdrawn: true}, now)
	require.Equal(t, []string{"west0"}, zoneOf().Large)
	stopping.Incarnation = "2"
	m.recordHeartbeat(stopping, readyStatus, now)
	require.Equal(t, []string{"west0", "west1"}, zoneOf().Large, "it takes them later, the others give them up now")
}

func TestWhoHoldsNoShards(t *testing.T) {
	now := time.Now()
	newcomerHearing := func(names ...string) func() *members {
		return func() *members {
			m := startedMembers(host("west9", "west-0", "west"), nineHostsList(), now)
			for _, name := range names {
				m.recordHeartbeat(host(name, "west-0", "west"), readyStatus, now.Add(newcomerPause))
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
		{"one that runs", func() *members { return nineHosts("west0", now) }, 0, true},
		{"one that stops", func() *members { m := nineHosts("west0", now); m.withdrawn = true; return m }, 0, false},
		{"one that hears nobody of its zone", func() *members { return nineHosts("west0", now) }, isolatedAfter + time.Second, false},
		{"one that is alone in its zone", func() *members { return nineHosts("west2", now) }, time.Hour, true},
		{"a new one that does not hear all of its zone", newcomerHearing("west0"), newcomerPause - time.Second, false},
		{"the same later", newcomerHearing("west0"), newcomerPause, true},
		{"a new one that hears all of its zone", newcomerHearing("west0", "west1"), 2 * time.Second, true},
		{"a new one that is alone in its zone", func() *members { return startedMembers(host("west9", "west-9", "west"), nineHostsList(), now) }, 2 * time.Second, true},
		{"one of a first start", func() *members {
			m := startedMembers(host("west9", "west-0", "west"), nineHostsList(), now)
			m.firstStart = true
			return m
		}, 2 * time.Second, true},
		{"one that has not read its list", func() *members { return newMembers(host("west0", "west-0", "west"), []string{"west"}, now) }, time.Hour, false},
	} {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.holds, c.members().holdsShards(now.Add(c.at))) })
	}
}

// fixedGiver gives as many tokens as it is asked for, of one account.
type fixedGiver struct{}

func (fixedGiver) GiveTokens(ask quota.TokenRequest) quota.TokenResponse {
	if ask.Account != "rail" {
		return quota.TokenResponse{}
	}
	return quota.TokenResponse{Tokens: ask.Tokens}
}

func TestAHostAsksAnotherForTokens(t *testing.T) {
	registry := newFakeRegistry()
	a := startFleet(t, registry, host("a", "z", "west"), nil)
	b := startFleet(t, registry, host("b", "z", "west"), nil)
	b.options.Tokens = fixedGiver{}
	require.Eventually(t, func() bool { return a.Hosts() == 2 }, 5*time.Second, 10*time.Millisecond)
	answer, err := a.AskTokens(t.Context(), "b", quota.TokenRequest{Account: "rail", Tokens: 700})
	require.NoError(t, err)
	require.Equal(t, 700, answer.Tokens)
	answer, err = a.AskTokens(t.Context(), "b", quota.TokenRequest{Account: "yard", Tokens: 700})
	require.NoError(t, err)
	require.Zero(t, answer.Tokens)
	_, err = a.AskTokens(t.Context(), "nobody", quota.TokenRequest{})
	require.ErrorContains(t, err, "nobody")
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err = b.AskTokens(ctx, "a", quota.TokenRequest{Account: "rail", Tokens: 1})
	require.Error(t, err, "a has none to give")
}
