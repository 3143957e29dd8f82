package config

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"cairndock/internal/tomlfile"
)

// shareSlack allows for rounding in the sum of shares.
const shareSlack = 1e-9

// referenceCheck collects the faults of a change's result.
type referenceCheck struct {
	before, after *State
	faults        []error
	// addrs gives the upstream at each address; it is made when needed.
	addrs map[string][]string
}

// CheckReferences reports, for the state that a change gives, every object
// of the change that names another which is not there, every object left
// behind that named a deleted one, and every upstream that the change would
// move to another zone. Slots of one upstream must never belong to two zones
// at once, so that an upstream is moved by removing it and adding it under
// another name.
func (s *State) CheckReferences(before *State, edits []Edit) error {
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
			c.serviceGone(e.Ref.Name)
		case e.Ref.Kind == KindZone && deleted:
			c.zoneGone(e.Ref.Name)
		}
	}
	for name := range services {
		c.shares(name)
	}
	slices.SortFunc(c.faults, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return errors.Join(c.faults...)
}

func (c *referenceCheck) add(kind Kind, name, key, format string, args ...any) {
	c.faults = append(c.faults, tomlfile.KeyError{
		Key: fmt.Sprintf("%s[%q].%s", kind, name, key), Problem: fmt.Sprintf(format, args...),
	})
}

func (c *referenceCheck) upstream(name string) {
	u := c.after.upstreams[name].value
	if _, ok := c.after.services[u.Service]; !ok {
		c.add(KindUpstream, name, "service", "unknown service %q", u.Service)
	}
	if _, ok := c.after.zones[u.Zone]; !ok {
		c.add(KindUpstream, name, "zone", "unknown zone %q", u.Zone)
	}
	if old, ok := c.before.upstreams[name]; ok && old.value.Zone != u.Zone {
		c.add(KindUpstream, name, "zone", "can't move from %q; add it under another name", old.value.Zone)
	}
	for _, other := range c.at(u.Addr) {
		if other != name {
			c.add(KindUpstream, name, "addr", "is also the address of %q", other)
		}
	}
}

func (c *referenceCheck) at(addr string) []string {
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
		c.add(KindRule, name, "service", "unknown service %q", r.Service)
	}
}

func (c *referenceCheck) block(e Edit) {
	b, err := decode[Block](e.Body)
	if err != nil {
		c.add(KindBlock, e.Ref.Name, "cidr", "%v", err)
		return
	}
	if _, ok := c.after.zones[b.Zone]; !ok {
		c.add(KindBlock, e.Ref.Name, "zone", "unknown zone %q", b.Zone)
	}
}

// shares checks that a service's shares add up to 1 at most.
func (c *referenceCheck) shares(service string) {
	sum := 0.0
	for _, r := range c.after.rules {
		if r.value.Service == service {
			sum += r.value.Share
		}
	}
	if sum > 1+shareSlack {
		c.add(KindService, service, "rules", "shares add up to %v, above 1", sum)
	}
}

func (c *referenceCheck) serviceGone(name string) {
	for u, e := range c.after.upstreams {
		if e.value.Service == name {
			c.add(KindUpstream, u, "service", "unknown service %q", name)
		}
	}
	for r, e := range c.after.rules {
		if e.value.Service == name {
			c.add(KindRule, r, "service", "unknown service %q", name)
		}
	}
}

func (c *referenceCheck) zoneGone(name string) {
	for u, e := range c.after.upstreams {
		if e.value.Zone == name {
			c.add(KindUpstream, u, "zone", "unknown zone %q", name)
		}
	}
	for prefix, b := range c.after.blocks.All() {
		if c.after.zoneNames[b.zone] == name {
			c.add(KindBlock, prefix.String(), "zone", "unknown zone %q", name)
		}
	}
}
