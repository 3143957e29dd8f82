package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"cairndock/internal/gateway/balance"
	"cairndock/internal/gateway/fleet"
	"cairndock/internal/gateway/upstream"
)

// zoneLoads connects the load reports of the balancer with the heartbeats of the zone.
type zoneLoads struct {
	gateway *Gateway
	runs    runIndex
}

// LoadReports returns the newest reports that this host itself received within maxAge.
func (z *zoneLoads) LoadReports(maxAge time.Duration, now time.Time) []balance.LoadReport {
	z.gateway.suspendWatch.Check() // before ages are reported
	return z.gateway.balancer.LoadReports(maxAge, now)
}

// MergeLoadReports records reports that another host received.
func (z *zoneLoads) MergeLoadReports(reports []balance.LoadReport, now time.Time) {
	z.gateway.balancer.MergeLoadReports(reports, now)
}

// RunByKey returns the run of an upstream that may receive requests by its key in load
// reports.
func (z *zoneLoads) RunByKey(key uint64, now time.Time) (upstream.Run, bool) {
	return z.runs.get(key, z.gateway.state.Upstreams(), now)
}

// runIndexTTL is how long a runIndex is used after its set of upstreams has changed. The set
// changes with each row of the store, and an index of 10,000 upstreams takes a millisecond.
// Reports of an upstream that has just started are dropped for this time.
const runIndexTTL = time.Second

// runIndex finds the runs of the upstreams of a set that may receive requests by their keys
// in load reports.
type runIndex struct {
	mu    sync.Mutex
	set   *upstream.Set
	made  time.Time
	byKey map[uint64]*upstream.Upstream
}

// get returns the run with a key if it is in the set.
func (x *runIndex) get(key uint64, set *upstream.Set, now time.Time) (upstream.Run, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.set == nil || x.set != set && now.Sub(x.made) >= runIndexTTL {
		x.rebuild(set, now)
	}
	u := x.byKey[key]
	if u == nil {
		return "", false
	}
	if x.set == set {
		return u.Run(), true
	}
	serving := set.Service(u.Service) // by ascending id
	i, ok := slices.BinarySearchFunc(serving, u.ID, func(u *upstream.Upstream, id string) int { return cmp.Compare(u.ID, id) })
	return u.Run(), ok && serving[i].Run() == u.Run()
}

func (x *runIndex) rebuild(set *upstream.Set, now time.Time) {
	serving := set.Serving()
	x.set, x.made, x.byKey = set, now, make(map[uint64]*upstream.Upstream, len(serving))
	for _, u := range serving {
		x.byKey[fleet.RunKey(u.Run())] = u
	}
}
