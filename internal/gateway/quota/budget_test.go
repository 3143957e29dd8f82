package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// bound is the default bound of the tests.
var bound = Bound{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}

// limit returns the number of requests that the bound allows in a window.
func (b Bound) limit(rate, burst float64) float64 {
	return (rate*b.Window.Seconds()+burst)*(1+b.Overshoot) + b.Slack
}

func TestABudgetStaysWithinItsBound(t *testing.T) {
	for _, b := range []Bound{bound, {Window: time.Second}, {Window: time.Minute, Overshoot: 0.5}} {
		for _, rate := range []float64{0.01, 1, 8, 411, 50_000} {
			for _, burst := range []float64{0, 1, 8, 411, 50_000} {
				for _, zones := range []int{1, 6, 80} {
					got := b.Budget(rate, burst, zones)
					inWindow := got.Rate*(b.Window+tokenTTL).Seconds() + got.Burst
					require.LessOrEqual(t, inWindow, max(b.limit(rate, burst), 1+got.Rate*(b.Window+tokenTTL).Seconds()))
					require.Positive(t, got.Rate)
					require.GreaterOrEqual(t, got.Burst, 1.0, "one request is admitted")
					require.GreaterOrEqual(t, got.Shards, 1)
					require.LessOrEqual(t, got.Shards, shardsPerZone*zones)
				}
			}
		}
	}
}

// The enforcement must not affect an account that stays within its limit.
func TestABudgetHasTheAccountsRateWhereItsBurstAllowsThat(t *testing.T) {
	for _, rate := range []float64{1, 8, 411} {
		require.GreaterOrEqual(t, bound.Budget(rate, rate, 6).Rate, rate)
	}
}

func TestShardsAddUpToTheBudget(t *testing.T) {
	for _, rate := range []float64{1, 8, 411} {
		b := bound.Budget(rate, rate, 6)
		perSecond, burst := 0.0, 0
		for range b.Shards {
			r, n := b.shards(1)
			perSecond, burst = perSecond+r, burst+n
		}
		require.InDelta(t, b.Rate*tokensPerRequest, perSecond, 0.001)
		require.LessOrEqual(t, float64(burst), b.Burst*tokensPerRequest)
	}
}

// testLayout returns a layout with zones in three regions, each with numbers of large and
// small hosts.
func testLayout(zones, large, small int) *Layout {
	l := &Layout{}
	for z := range zones {
		zone := Zone{Name: fmt.Sprint("z", z), Region: fmt.Sprint("r", z%3)}
		for h := range large {
			zone.Large = append(zone.Large, fmt.Sprintf("%s-large-%d", zone.Name, h))
		}
		for h := range small {
			zone.Small = append(zone.Small, fmt.Sprintf("%s-small-%d", zone.Name, h))
		}
		l.Zones = append(l.Zones, zone)
	}
	return l
}

func TestEachShardHasOneHolder(t *testing.T) {
	for _, c := range []struct{ zones, large, small int }{{6, 2, 9}, {3, 3, 0}, {9, 0, 1}, {80, 3, 12}, {1, 1, 0}} {
		l := testLayout(c.zones, c.large, c.small)
		for _, shards := range []int{1, 2, 7, 30} {
			for a := range max(1, 100/(c.zones*(c.large+c.small))) {
				account, sum := fmt.Sprint("account-", a), 0
				for _, z := range l.Zones {
					for _, host := range append(append([]string{}, z.Large...), z.Small...) {
						sum += l.held(account, host, z.Name, shards)
					}
				}
				require.Equal(t, shards, sum)
				others := 0
				for _, h := range l.otherHolders(account, "elsewhere", "z0", "r0", shards) {
					others += h.Shards
				}
				require.Equal(t, shards, others, "token requests go to the hosts that hold the shards")
			}
		}
	}
}

// The shards of a zone's hosts must not depend on the hosts that other zones have, because
// hosts may have different lists of them.
func TestShardsOfAZoneDoNotDependOnOtherZones(t *testing.T) {
	complete, isolated := testLayout(6, 2, 9), testLayout(6, 2, 9)
	for i := range isolated.Zones[1:] {
		isolated.Zones[i+1].Large, isolated.Zones[i+1].Small = nil, nil
	}
	for _, host := range append(complete.Zones[0].Large, complete.Zones[0].Small...) {
		require.Equal(t, complete.held("a", host, "z0", 30), isolated.held("a", host, "z0", 30))
	}
	require.Zero(t, complete.held("a", "z0-large-0", "nowhere", 30))
}

func TestLargeHostsHoldFourOfFiveShards(t *testing.T) {
	l := testLayout(6, 2, 9)
	large := 0
	for _, z := range l.Zones {
		for _, host := range z.Large {
			large += l.held("a", host, z.Name, 30)
		}
	}
	require.Equal(t, 24, large)
}

func TestHoldersAreQueriedFromNearToFar(t *testing.T) {
	l := testLayout(6, 2, 9)
	distance := 0
	for _, h := range l.otherHolders("a", "z0-large-0", "z0", "r0", 30) {
		d := 2
		switch {
		case h.Zone == "z0":
			d = 0
		case h.Region == "r0":
			d = 1
		}
		require.GreaterOrEqual(t, d, distance)
		distance = d
		require.NotEqual(t, "z0-large-0", h.Host)
	}
}
