package balance_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/upstream"
)

// upstreamsIn makes one upstream per zone. The name of a zone begins with its region.
func upstreamsIn(zones []string) (all []*upstream.Upstream) {
	for n, zone := range zones {
		region, _, _ := strings.Cut(zone, "-")
		all = append(all, newUpstream(fmt.Sprint("i-", n), zone, region))
	}
	return all
}

func TestUpstreamsNearUnreachableOnesAreTriedLast(t *testing.T) {
	all := upstreamsIn(slices.Repeat([]string{"west-1", "west-2", "east-1"}, 6))
	for _, c := range []struct {
		name string
		// refused are the zones of the upstreams that refused the connection; unanswered
		// those of the upstreams to which the connection timed out.
		refused, unanswered []string
		// last is the prefix that the zone of the chosen upstream must not have; empty if
		// the order must be the same as without failures.
		last string
	}{
		{"one refusal in a zone has no effect", []string{"west-1"}, nil, ""},
		{"one refusal in each of two zones has no effect", []string{"west-1", "west-2"}, nil, ""},
		{"two refusals demote their zone", []string{"west-1", "west-1"}, nil, "west-1"},
		{"three refusals demote their region", []string{"west-1", "west-1", "west-2"}, nil, "west"},
		{"if all zones are demoted, the order is unchanged", []string{"west-1", "west-1", "west-2", "east-1", "east-1"}, nil, ""},
		{"one time-out demotes its zone", nil, []string{"west-1"}, "west-1"},
	} {
		for _, noAffinity := range []bool{false, true} {
			t.Run(fmt.Sprint(c.name, " without affinity ", noAffinity), func(t *testing.T) {
				for key := range 20 {
					q := balance.Query{Key: strconv.Itoa(key), NoAffinity: noAffinity, Upstreams: all, Now: time.Now()}
					q.Refused, q.Unanswered = upstreamsIn(c.refused), upstreamsIn(c.unanswered)
					got := choose(t, newBalancer(1), q).Upstream
					if c.last == "" {
						q.Refused, q.Unanswered = nil, nil
						require.Equal(t, choose(t, newBalancer(1), q).Upstream, got)
						continue
					}
					require.False(t, strings.HasPrefix(got.Zone, c.last), got.Zone)
				}
			})
		}
	}
}
