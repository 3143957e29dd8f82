package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/outlier"
	"cairndock/internal/gateway/upstream"
)

// noReporter ignores the reports of a detector.
type noReporter struct{}

func (noReporter) FailureSeen()             {}
func (noReporter) Ejected(outlier.Ejection) {}

func TestUnreachableUpstreamIsTriedLastForAWhile(t *testing.T) {
	now, all := time.Now(), twoRegions(4)
	detector := outlier.New(noReporter{})
	b := balance.New(location, fixedQuota(1), detector, balance.DefaultPolicy())
	q := balance.Query{Key: "k", Upstreams: all, Now: now}
	c := choose(t, b, q)
	first := c.Upstream.ID
	b.Done(c)
	detector.RecordOutcome(c.Upstream.Run(), outlier.Unreachable, now)
	require.NotEqual(t, first, choose(t, b, q).Upstream.ID)
	// If it is the only upstream, it is tried nevertheless.
	for _, u := range all {
		if u.ID == first {
			q.Upstreams = []*upstream.Upstream{u}
		}
	}
	require.Equal(t, first, choose(t, b, q).Upstream.ID)
	q.Upstreams, q.Now = all, now.Add(time.Second)
	require.Equal(t, first, choose(t, b, q).Upstream.ID)
}

// ejecting is a detector that ejects one upstream.
type ejecting upstream.Run

func (e ejecting) Ejected(run upstream.Run, _ time.Time) bool { return run == upstream.Run(e) }

func TestEjectedUpstreamIsTriedLastWhileTheOthersHaveRoom(t *testing.T) {
	for _, c := range []struct {
		name     string
		reported int // of a capacity of 4, at each of the others
		last     bool
	}{
		{"the others have free capacity", 1, true},
		{"the others are busy", 3, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			now, all := time.Now(), twoRegions(4)
			q := balance.Query{Key: "k", Upstreams: all, Now: now}
			first := choose(t, newBalancer(1), q).Upstream.ID
			b := balance.New(location, fixedQuota(1), ejecting(first), balance.DefaultPolicy())
			for _, u := range all {
				if u.ID != first {
					b.ObserveLoad(u, c.reported, 0, now)
				}
			}
			require.Equal(t, c.last, choose(t, b, q).Upstream.ID != first)
		})
	}
}
