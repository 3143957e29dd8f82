package rollout

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cairndock/internal/gateway/upstream"
)

// minCanaryUpstreams is the number of the target's upstreams that get requests at least. With
// fewer, faults of single upstreams would look like one of the version.
const minCanaryUpstreams = 6

// Plan says which upstreams of a service may get requests while a roll-out applies to it.
// It is immutable. A nil plan allows all.
type Plan struct {
	phase Phase
	// fraction is the fraction of the requests, by key, that go to the target.
	fraction float64
	// target and others are the upstreams of the target and of all other versions that
	// may get requests. canary are those of the target that get its fraction.
	target, others, canary []*upstream.Upstream
	// all are the upstreams of all versions that are not excluded.
	all []*upstream.Upstream
	// excluded are the versions that get no requests besides the target.
	excluded []string
	// toTarget and toOthers are set if the target and if other versions may get requests.
	toTarget, toOthers bool
	order              Order
}

// newPlan returns the plan for the upstreams of a service. If the state of the roll-out may
// be outdated, or the target was found to be bad, the target gets no requests that it does
// not have to serve.
func newPlan(r Record, withdrawn, cautious bool, all []*upstream.Upstream) *Plan {
	p := &Plan{phase: r.Phase, fraction: r.Fraction, order: r.Order}
	if withdrawn && !r.Phase.Final() {
		p.phase = RolledBack
	}
	p.excluded = r.Excluded
	if p.phase == Succeeded {
		p.excluded = slices.Concat(r.Excluded, r.Replaced)
	}
	for _, u := range all {
		switch {
		case u.SoftwareVersion == r.Target:
			p.target = append(p.target, u)
		case slices.Contains(p.excluded, u.SoftwareVersion):
			continue
		default:
			p.others = append(p.others, u)
		}
		p.all = append(p.all, u)
	}
	p.toTarget, p.toOthers = p.allowed(cautious)
	if p.toTarget && p.toOthers && p.phase != Succeeded {
		p.canary = canaryUpstreams(p.target, cmp.Or(r.Requests, p.fraction), r.Order.Version)
	}
	return p
}

// allowed returns whether the target and whether other versions may get requests.
func (p *Plan) allowed(cautious bool) (target, others bool) {
	switch p.phase {
	case Canary, Ramp:
		if len(p.others) == 0 {
			return true, false
		}
		return p.fraction > 0 && !cautious, true
	case Shift:
		return !cautious, cautious
	case Succeeded:
		return true, true
	default:
		return false, true
	}
}

// canaryLoad is how much higher the load of the target's upstreams is than that of the others
// while the target gets a fraction of the requests, if there are enough of them. A version
// that is bad only under load shows it then.
const canaryLoad = 1.25

// canaryUpstreams returns the upstreams of each region that get a fraction of the requests,
// in the order of ascending ids. All hosts choose the same ones.
func canaryUpstreams(target []*upstream.Upstream, fraction float64, salt int64) []*upstream.Upstream {
	regions := map[string][]*upstream.Upstream{}
	for _, u := range target {
		regions[u.Region] = append(regions[u.Region], u)
	}
	perRegion := (minCanaryUpstreams + len(regions) - 1) / max(1, len(regions))
	var canary []*upstream.Upstream
	for _, list := range regions {
		slices.SortFunc(list, func(a, b *upstream.Upstream) int {
			return cmp.Compare(a.Seed()*uint64(2*salt+1), b.Seed()*uint64(2*salt+1))
		})
		n := max(perRegion, int(fraction/canaryLoad*float64(len(list))))
		canary = append(canary, list[:min(n, len(list))]...)
	}
	slices.SortFunc(canary, func(a, b *upstream.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return canary
}

// Candidates returns the upstreams that may get an attempt of a request, and those to ask
// if none of these takes it. key determines whether the request belongs to the target's
// fraction, so that requests for one object stay with one version. Only a first attempt
// goes to an unproved version.
func (p *Plan) Candidates(key string, firstAttempt bool) (preferred, fallback []*upstream.Upstream) {
	switch {
	case !p.toTarget && !p.toOthers:
		return nil, nil
	case p.phase == Succeeded:
		return p.all, nil
	case !p.toTarget:
		return p.others, nil
	case !p.toOthers:
		return p.target, nil
	case !firstAttempt || position(key, p.order.Version) >= p.fraction:
		return p.others, nil
	default:
		return p.canary, p.others
	}
}

// Allows reports whether an upstream may get a request.
func (p *Plan) Allows(u *upstream.Upstream) bool {
	if p == nil {
		return true
	}
	if u.SoftwareVersion == p.order.Target {
		return p.toTarget
	}
	return p.toOthers && !slices.Contains(p.excluded, u.SoftwareVersion)
}

// position maps a key to a number from 0 to 1, differently for each order.
func position(key string, order int64) float64 {
	const salt = 0x9e3779b97f4a7c15 // any odd constant
	hash := (xxhash.Sum64String(key) ^ uint64(order)*salt) * salt
	return float64(hash>>11) / (1 << 53)
}
