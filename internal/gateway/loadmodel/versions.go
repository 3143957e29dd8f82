package loadmodel

import (
	"fmt"
	"io"
	"slices"
	"time"

	"cairndock/internal/gateway/rollout"
)

// RolloutResult is how a roll-out went.
type RolloutResult struct {
	Service string
	// Phase is the last phase that was stored, and Reason why; Took is the time from the order
	// until then.
	Phase  rollout.Phase
	Reason string
	Took   time.Duration
	// Old and New are the requests that arrived at the upstreams of each version from the order
	// to the end of its duration, and Bad the bad responses of the new version.
	Old, New, Bad int
	// LatestAfterBad is the time from the 50th bad response to the last request of the new
	// version; zero without.
	LatestAfterBad time.Duration
	// Interrupted are the requests at other versions when the roll-out succeeded, and Later
	// those that came after it.
	Interrupted, Later int

	manyBad time.Time
}

// Bound returns the part of its bound that the new version got.
func (r *RolloutResult) Bound() float64 {
	return float64(r.New) / (rolloutFraction*float64(r.Old+r.New) + rolloutSlack)
}

// countRollout counts a request that arrives.
func (u *upstreamSim) countRollout() {
	r, now := u.rollout, u.model.clock.now
	if r == nil || r.ordered.IsZero() {
		return
	}
	isNew, result := u.entry.SoftwareVersion == newVersion, r.result
	if now.Before(r.ordered.Add(time.Duration(r.Duration))) {
		if isNew {
			result.New++
		} else {
			result.Old++
		}
	}
	switch {
	case isNew && !result.manyBad.IsZero():
		result.LatestAfterBad = now.Sub(result.manyBad)
	case !isNew && result.Phase == rollout.Succeeded:
		result.Later++
	}
}

// spoil returns how much longer a request takes and whether it fails, because of the version of
// the upstream. The request is already counted as running.
func (u *upstreamSim) spoil(j *job) (factor float64, failed bool) {
	r := u.rollout
	if r == nil || u.entry.SoftwareVersion != newVersion || r.Failing+r.SlowPart == 0 {
		return 1, false
	}
	isBad := u.model.clock.now.Sub(r.ordered) >= time.Duration(r.From) && u.running-1+len(u.waiting) >= r.Load && (r.Route == "" || r.Route == j.route.Name)
	if !isBad {
		return 1, false
	}
	switch p := u.model.random.Float64(); {
	case p < r.Failing:
		r.result.countBad(u.model.clock.now)
		return 1, true
	case p < r.Failing+r.SlowPart:
		r.result.countBad(u.model.clock.now)
		return r.SlowFactor, false
	}
	return 1, false
}

func (r *RolloutResult) countBad(now time.Time) {
	if r.Bad++; r.Bad == badResponses {
		r.manyBad = now
	}
}

// end records the end of a roll-out. The platform stops the upstreams of other versions when it
// has succeeded.
func (r *rolloutSim) end() {
	result, now := r.result, r.model.clock.now
	result.Phase, result.Reason, result.Took = r.record.Phase, r.record.Reason, now.Sub(r.ordered)
	if r.record.Phase != rollout.Succeeded {
		return
	}
	for _, u := range r.model.byService[r.Service] {
		if u.entry.SoftwareVersion != newVersion {
			result.Interrupted += u.running + len(u.waiting)
			u.down = true
			r.registry.Discard(u.entry.ID, now)
		}
	}
	r.use()
}

// hostsOf returns the hosts of a region.
func (m *Model) hostsOf(region string) []*host {
	var hosts []*host
	for _, h := range m.hosts {
		if h.zone.Region == region {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// regionNames returns the regions with hosts, sorted.
func (m *Model) regionNames() []string {
	var names []string
	for _, h := range m.hosts {
		if !slices.Contains(names, h.zone.Region) {
			names = append(names, h.zone.Region)
		}
	}
	slices.Sort(names)
	return names
}

// printRollouts writes how the roll-outs of each variant went.
func printRollouts(t io.Writer, results []*Result) {
	for i, r := range results {
		for _, o := range r.Rollouts {
			if i == 0 {
				fmt.Fprintln(t, "\nvariant\troll-out of\tended\tafter\told\tnew\tof the bound\tbad\tlast after 50 bad\tinterrupted\tlater\treason\t")
			}
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%.2f\t%d\t%s\t%d\t%d\t%s\t\n", r.Variant, o.Service, o.Phase, o.Took, o.Old, o.New, o.Bound(), o.Bad, o.LatestAfterBad, o.Interrupted, o.Later, o.Reason)
		}
	}
}
