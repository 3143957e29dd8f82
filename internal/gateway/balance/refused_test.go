package balance_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/upstream"
)

func TestUpstreamsBesideSeveralThatRefusedComeLast(t *testing.T) {
	var all []*upstream.Upstream
	for _, zone := range []string{"west-1", "west-2", "east-1"} {
		for n := range 6 {
			all = append(all, newUpstream(fmt.Sprint(zone, "-", n), zone, strings.Split(zone, "-")[0]))
		}
	}
	for _, c := range []struct {
		name string
		// refused are the zones of the upstreams that refused the connection.
		refused []string
		// last is what the zone of the next upstream must not begin with; empty if the order
		// is as without refusals.
		last string
	}{
		{"one says nothing of its zone", []string{"west-1"}, ""},
		{"one of each of two zones says nothing", []string{"west-1", "west-2"}, ""},
		{"two say it of their zone", []string{"west-1", "west-1"}, "west-1"},
		{"three say it of their region", []string{"west-1", "west-1", "west-2"}, "west"},
		{"where all are concerned the order is as before", []string{"west-1", "west-1", "west-2", "east-1", "east-1"}, ""},
	} {
		for _, noAffinity := range []bool{false, true} {
			t.Run(fmt.Sprint(c.name, " without affinity ", noAffinity), func(t *testing.T) {
				for key := range 20 {
					q := balance.Query{Key: strconv.Itoa(key), NoAffinity: noAffinity, Upstreams: all, Now: time.Now()}
					for n, zone := range c.refused {
						q.Refused = append(q.Refused, newUpstream(fmt.Sprint("ended-", n), zone, strings.Split(zone, "-")[0]))
					}
					got := choose(t, newBalancer(1), q).Upstream
					if c.last == "" {
						q.Refused = nil
						require.Equal(t, choose(t, newBalancer(1), q).Upstream, got)
						continue
					}
					require.False(t, strings.HasPrefix(got.Zone, c.last), got.Zone)
				}
			})
		}
	}
}
