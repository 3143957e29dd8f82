package config

import (
	"errors"
	"slices"
	"strings"
)

// shareTolerance is the tolerance by which a sum of shares may exceed 1. It is
// far above the rounding errors of float64 sums and far below any share that
// operators write.
const shareTolerance = 1e-9

// referenceCheck collects the faults of the state after a change.
type referenceCheck struct {
	faults
	before, after *State
	// addrs maps addresses to upstream names. It is built on first use.
	addrs map[string][]string
}

// checkReferences checks the state after a change. The faults are:
//   - an object of the change that refers to a missing object,
//   - a remaining object that refers to a deleted object,
//   - an upstream with the address of another upstream,
//   - a service whose shares add up to more than 1,
//   - an upstream that the change would move to another zone. The slots of an
//     upstream must never belong to two zones at once, so moving an upstream
//     requires removing it and adding it under another name.
//
// Only objects affected by the edits are checked, because all others were
// checked when they were accepted.
func (s *State) checkReferences(before *State, edits []Edit) error {
	c := &referenceCheck{before: before, after: s}
	services := map[string]bool{}
	for _, e := range edits {
		deleted := len(e.Body) == 0
		switch {
		case e.Ref.Kind == KindUpstream && !deleted:
			c.upstream(e.Ref.Name)
		case e.Ref.Kind == KindRule && !deleted:
			c.rule(e.Ref.Name)
			services[s.rules[e.Ref.Name].value.Service] = true
		case e.Ref.Kind == KindBlock && !deleted:
			c.block(e)
		case e.Ref.Kind == KindService && deleted:
			c.serviceRemoved(e.Ref.Name)
		case e.Ref.Kind == KindZone && deleted:
			c.zoneRemoved(e.Ref.Name)
		}
	}
	for name := range services {
		c.shares(name)
	}
	slices.SortFunc(c.faults, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return errors.Join(c.faults...)
}

// unknown adds a fault for an object that refers to a missing zone or service.
// key is the name of the reference, "zone" or "service".
func (c *referenceCheck) unknown(ref Ref, key, target string) {
	c.add(ref, key, "unknown %s %q", key, target)
}

func (c *referenceCheck) upstream(name string) {
	u := c.after.upstreams[name].value
	if _, ok := c.after.services[u.Service]; !ok {
		c.unknown(Ref{KindUpstream, name}, "service", u.Service)
	}
	if _, ok := c.after.zones[u.Zone]; !ok {
		c.unknown(Ref{KindUpstream, name}, "zone", u.Zone)
	}
	if old, ok := c.before.upstreams[name]; ok && old.value.Zone != u.Zone {
		c.add(Ref{KindUpstream, name}, "zone", "can't move from %q; add it under another name", old.value.Zone)
	}
	for _, other := range c.upstreamsAt(u.Addr) {
		if other != name {
			c.add(Ref{KindUpstream, name}, "addr", "is also the address of %q", other)
		}
	}
}

func (c *referenceCheck) upstreamsAt(addr string) []string {
	if c.addrs == nil {
		c.addrs = make(map[string][]string, len(c.after.upstreams))
		for name, u := range c.after.upstreams {
			c.addrs[u.value.Addr] = append(c.addrs[u.value.Addr], name)
		}
	}
	return c.addrs[addr]
}

func (c *referenceCheck) rule(name string) {
	r := c.after.rules[name].value
	if _, ok := c.after.services[r.Service]; !ok {
		c.unknown(Ref{KindRule, name}, "service", r.Service)
	}
}

func (c *referenceCheck) block(e Edit) {
	b, err := decode[Block](e.Body)
	if err != nil {
		c.add(Ref{KindBlock, e.Ref.Name}, "cidr", "%v", err)
		return
	}
	if _, ok := c.after.zones[b.Zone]; !ok {
		c.unknown(Ref{KindBlock, e.Ref.Name}, "zone", b.Zone)
	}
}

// shares checks that a service's shares add up to at most 1.
func (c *referenceCheck) shares(service string) {
	sum := 0.0
	for _, r := range c.after.rules {
		if r.value.Service == service {
			sum += r.value.Share
		}
	}
	if sum > 1+shareTolerance {
		c.add(Ref{KindService, service}, "rules", "shares add up to %v, above 1", sum)
	}
}

func (c *referenceCheck) serviceRemoved(name string) {
	for u, e := range c.after.upstreams {
		if e.value.Service == name {
			c.unknown(Ref{KindUpstream, u}, "service", name)
		}
	}
	for r, e := range c.after.rules {
		if e.value.Service == name {
			c.unknown(Ref{KindRule, r}, "service", name)
		}
	}
}

func (c *referenceCheck) zoneRemoved(name string) {
	for u, e := range c.after.upstreams {
		if e.value.Zone == name {
			c.unknown(Ref{KindUpstream, u}, "zone", name)
		}
	}
	for prefix, b := range c.after.blocks.table.All() {
		if c.after.blocks.zone(b) == name {
			c.unknown(Ref{KindBlock, prefix.String()}, "zone", name)
		}
	}
}
