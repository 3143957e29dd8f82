package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/notice"
	"cairndock/internal/gateway/upstream"
)

// limitTokens are numbers of tokens, from that of a limit of 0 to that of a large limit.
var limitTokens = []int{1, 3, 4, 9, 58, 1000}

func TestSharesOfALimitAddUp(t *testing.T) {
	now := time.Now()
	three := append(append(regionHosts("west", 30), regionHosts("east", 20)...), regionHosts("south", 17)...)
	for i := range three {
		if i%5 == 0 {
			three[i].Capacity = 500
		}
	}
	for name, all := range map[string][]Host{"nine": nineHostsList(), "67 of unequal size": three, "one region": regionHosts("west", 4)} {
		for _, tokens := range limitTokens {
			for u := range 5 {
				sum, own := 0, 0
				for _, self := range all {
					n := membersOf(self, all, now).limitShare(fmt.Sprint("i-", u), "west", tokens, now)
					sum += n
					if self.Region == "west" {
						own += n
					}
				}
				require.Equal(t, tokens, sum, "%s, %d tokens", name, tokens)
				require.GreaterOrEqual(t, float64(own), ownRegionLimitFraction*float64(tokens), "%s, %d tokens", name, tokens)
			}
		}
	}
}

// Whichever hosts a host sees alive, and whether or not it has read the lists of the
// hosts that share the limit, all shares add up to no more than the limit.
func TestSharesOfALimitAddUpWhoeverIsKnown(t *testing.T) {
	now := time.Now()
	all := nineHostsList()
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, seed))
		for _, tokens := range limitTokens {
			sum := 0
			for _, self := range all {
				m := newMembers(self, regionsOf(all), now.Add(-longUptime))
				if random.IntN(2) == 0 { // it has read the lists
					m = startedMembers(self, all, now.Add(-longUptime))
				}
				for _, h := range all {
					if random.IntN(2) == 0 {
						m.recordHeartbeat(h, readyStatus, now)
					}
				}
				sum += m.limitShare("i-1", "west", tokens, now)
			}
			require.LessOrEqual(t, sum, tokens, "seed %d", seed)
		}
	}
}

func TestAStoppingHostHasNoShareOfALimit(t *testing.T) {
	now := time.Now()
	m := nineHosts("west0", now)
	require.Positive(t, m.limitShare("i-1", "west", 9, now))
	m.withdrawn = true
	require.Zero(t, m.limitShare("i-1", "west", 9, now))
}

// viewShares returns the shares of one host.
type viewShares struct {
	view *members
	now  *time.Time
}

func (v viewShares) LimitShare(id, region string, tokens int) notice.Share {
	return notice.Share{Tokens: v.view.limitShare(id, region, tokens, *v.now), Hosts: v.view.size()}
}

type noopObserver struct{}

func (noopObserver) LimitChanged(upstream.Run, float64)           {}
func (noopObserver) LimitEnded(upstream.Run)                      {}
func (noopObserver) LeavingAnnounced(upstream.Run)                {}
func (noopObserver) BackoffRequested(upstream.Run, time.Duration) {}

// Hosts stop and restart all the time and continue at once. Their processes start
// without tokens, so that no period of four seconds exceeds the platform's bound, with
// restarts as without them.
func TestALimitHoldsOverAllHosts(t *testing.T) {
	many := append(append(regionHosts("west", 30), regionHosts("east", 20)...), regionHosts("south", 17)...)
	for _, all := range [][]Host{nineHostsList(), many} {
		for _, perSecond := range []float64{0, 0.3, 6, 60} {
			for _, restarts := range []int{0, 2} {
				t.Run(fmt.Sprintf("%d hosts, %g requests per second, %d restarts per second", len(all), perSecond, restarts), func(t *testing.T) {
					most, used := saturateLimit(all, perSecond, restarts)
					t.Logf("%d in 4 s, %.2f requests per second", most, used)
					require.LessOrEqual(t, float64(most), perSecond*1.5*4+5)
					if perSecond >= 1 && restarts == 0 {
						require.GreaterOrEqual(t, used, perSecond/2)
					}
				})
			}
		}
	}
}

// saturateLimit has all hosts send as many requests as they may for 40 s. It returns the
// highest number of requests in any 4 s, and the requests per second.
func saturateLimit(all []Host, perSecond float64, restarts int) (most int, used float64) {
	const length, step = 40 * time.Second, 20 * time.Millisecond
	random := rand.New(rand.NewPCG(1, uint64(len(all))))
	began := time.Now()
	now := began
	target := &upstream.Upstream{Registration: upstream.Registration{ID: "i-1", Region: "west"}}
	reported := notice.Notice{}.WithLimit(notice.LimitOf(perSecond))
	tables := make([]*notice.Table, len(all))
	start := func(i int) {
		tables[i] = notice.NewTable(all[i].Name, viewShares{membersOf(all[i], all, began), &now}, noopObserver{})
		tables[i].Observe(target.Run(), reported, now, now)
	}
	for i := range all {
		start(i)
	}
	var sent []time.Time
	for ; now.Before(began.Add(length)); now = now.Add(step) {
		for i, table := range tables {
			for table.Withheld(target, now).Upstream == "" {
				table.Take(target, now)
				table.Observe(target.Run(), reported, now, now)
				sent = append(sent, now)
			}
			if random.IntN(len(all)*int(time.Second/step)) < restarts {
				start(i)
			}
		}
	}
	begin := 0
	for end := range sent {
		for sent[end].Sub(sent[begin]) >= 4*time.Second {
			begin++
		}
		most = max(most, end-begin+1)
	}
	return most, float64(len(sent)) / length.Seconds()
}
