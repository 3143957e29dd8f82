package config

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strings"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"cairndock/internal/tomlfile"
)

const (
	// maxSlots is how many slots an upstream may have: a roster.SlotSet is one
	// machine word of 64 bits.
	maxSlots = 64
	// longestMaxTimeout limits Service.MaxTimeout, and so how long the slots of
	// a dead host stay unused. Chosen, not measured.
	longestMaxTimeout = 10 * time.Minute
	// defaultTimeout is the timeout of a service that sets none. Chosen, not
	// measured.
	defaultTimeout = 2 * time.Second
	// defaultMaxTimeout is the longest timeout of a service that sets none; it
	// is never below the service's timeout. Chosen, not measured.
	defaultMaxTimeout = 10 * time.Second
	// defaultRetryShare limits retries as a share of requests. Chosen, not
	// measured: a tenth, as docs/design/request.md says.
	defaultRetryShare = 0.1
	// defaultReserved is the part of a link kept for interactive traffic.
	// Chosen, not measured.
	defaultReserved = 0.3
)

// Removal deletes one object.
type Removal struct {
	Kind Kind   `toml:"kind"`
	Name string `toml:"name"`
}

// Document is a configuration as operators write it. It may hold only some of
// the objects: those it does not name stay as they are.
type Document struct {
	Zones     []Zone     `toml:"zone,omitempty"`
	Services  []Service  `toml:"service,omitempty"`
	Upstreams []Upstream `toml:"upstream,omitempty"`
	Rules     []Rule     `toml:"rule,omitempty"`
	Blocks    []Block    `toml:"block,omitempty"`
	Links     []Link     `toml:"link,omitempty"`
	Removals  []Removal  `toml:"remove,omitempty"`
	// Versions are the versions that the submitter read, by "kind/name".
	Versions map[string]uint64 `toml:"versions,omitempty"`
}

// ParseDocument decodes a TOML document, applies defaults and checks every
// value. Unknown keys are faults. Its error joins a tomlfile.KeyError for each
// fault.
func ParseDocument(data []byte) (Document, error) {
	var doc Document
	if err := tomlfile.Decode(data, &doc); err != nil {
		return doc, err
	}
	doc.setDefaults()
	return doc, doc.check()
}

func (d *Document) setDefaults() {
	for i := range d.Services {
		s := &d.Services[i]
		s.Class = orDefault(s.Class, Interactive)
		s.Repeat = orDefault(s.Repeat, RepeatNever)
		s.Prefer = orDefault(s.Prefer, PreferLatency)
		s.Timeout = orDefault(s.Timeout, Duration(defaultTimeout))
		s.MaxTimeout = orDefault(s.MaxTimeout, max(Duration(defaultMaxTimeout), s.Timeout))
	}
	for i := range d.Upstreams {
		d.Upstreams[i].State = orDefault(d.Upstreams[i].State, StateLive)
	}
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

// checker collects the faults of one object.
type checker struct {
	prefix string
	faults *[]error
}

func (c checker) require(ok bool, key, format string, args ...any) {
	if !ok {
		*c.faults = append(*c.faults, tomlfile.KeyError{Key: c.prefix + "." + key, Problem: fmt.Sprintf(format, args...)})
	}
}

func (c checker) share(v float64, key string) {
	c.require(v >= 0 && v <= 1, key, "must be from 0 to 1, is %v", v)
}

// check returns every fault of the document by itself, and brings the names of
// blocks into their canonical form.
func (d *Document) check() error {
	var faults []error
	seen := map[Ref]bool{}
	at := func(kind Kind, name string) checker {
		c := checker{fmt.Sprintf("%s[%q]", kind, name), &faults}
		ref := Ref{kind, name}
		c.require(name != "", "name", "must be set")
		c.require(!seen[ref], "name", "stands twice in the document")
		seen[ref] = true
		return c
	}
	for _, z := range d.Zones {
		at(KindZone, z.Name).require(z.Region != "", "region", "must be set")
	}
	for _, s := range d.Services {
		checkService(at(KindService, s.Name), s)
	}
	for _, u := range d.Upstreams {
		checkUpstream(at(KindUpstream, u.Name), u)
	}
	for _, r := range d.Rules {
		checkRule(at(KindRule, r.Name), r)
	}
	for i := range d.Blocks {
		checkBlock(at, &d.Blocks[i])
	}
	for _, l := range d.Links {
		c := at(KindLink, l.key())
		c.require(l.BytesPerSecond > 0, "bytes_per_second", "must be above 0")
		c.share(l.ReservedShare(), "reserved")
	}
	for _, r := range d.Removals {
		at(r.Kind, r.Name).require(slices.Contains(kinds, r.Kind), "kind", "unknown kind %q", r.Kind)
	}
	return errors.Join(faults...)
}

func checkService(c checker, s Service) {
	c.require(!strings.Contains(s.Name, "/"), "name", "must hold no slash")
	c.require(s.Class == Interactive || s.Class == Bulk, "class", "must be interactive or bulk, is %q", s.Class)
	c.require(slices.Contains([]Repeat{RepeatNever, RepeatSafe, RepeatAlways}, s.Repeat),
		"repeat", "must be never, safe or always, is %q", s.Repeat)
	c.require(s.Prefer == PreferLatency || s.Prefer == PreferHeadroom,
		"prefer", "must be latency or headroom, is %q", s.Prefer)
	c.require(s.Timeout > 0 && s.Timeout <= s.MaxTimeout, "timeout", "must be above 0 and at most max_timeout")
	c.require(s.MaxTimeout <= Duration(longestMaxTimeout), "max_timeout", "must be at most %s", longestMaxTimeout)
	c.share(s.RetryBudget(), "retry_share")
}

func checkUpstream(c checker, u Upstream) {
	c.require(u.Service != "", "service", "must be set")
	c.require(u.Zone != "", "zone", "must be set")
	c.require(u.Slots > 0 && u.Slots <= maxSlots, "slots", "must be from 1 to %d, is %d", maxSlots, u.Slots)
	c.require(u.State == StateLive || u.State == StateLeaving, "state", "must be live or leaving, is %q", u.State)
	_, _, err := net.SplitHostPort(u.Addr)
	c.require(err == nil, "addr", "must be address:port, is %q", u.Addr)
}

func checkRule(c checker, r Rule) {
	c.require(r.Service != "", "service", "must be set")
	_, err := labels.Parse(r.Selector)
	c.require(err == nil, "selector", "%v", err)
	c.share(r.Share, "share")
	c.share(r.MaxShare(), "cap")
	c.require(r.Share <= r.MaxShare(), "share", "must be at most the cap %v, is %v", r.MaxShare(), r.Share)
	c.require(r.Ramp >= 0, "ramp", "must not be negative")
	c.require(r.Rate >= 0, "rate", "must not be negative")
	c.require(r.InFlight >= 0, "in_flight", "must not be negative")
}

func checkBlock(at func(Kind, string) checker, b *Block) {
	prefix, err := netip.ParsePrefix(b.CIDR)
	c := at(KindBlock, b.CIDR)
	c.require(err == nil, "cidr", "must be a CIDR block, is %q", b.CIDR)
	c.require(b.Zone != "", "zone", "must be set")
	if err == nil {
		b.CIDR = prefix.Masked().String()
	}
}

// Document returns the whole state as a document, with every object's version.
func (s *State) Document() Document {
	d := Document{Versions: map[string]uint64{}}
	d.Zones = collect(s.zones, KindZone, d.Versions)
	d.Services = collect(s.services, KindService, d.Versions)
	d.Upstreams = collect(s.upstreams, KindUpstream, d.Versions)
	d.Rules = collect(s.rules, KindRule, d.Versions)
	d.Links = collect(s.links, KindLink, d.Versions)
	for prefix, b := range s.blocks.table.AllSorted() {
		d.Versions[Ref{KindBlock, prefix.String()}.String()] = b.version
		d.Blocks = append(d.Blocks, Block{CIDR: prefix.String(), Zone: s.blocks.zone(b)})
	}
	return d
}

// collect returns the objects of one kind by name, and adds their versions.
func collect[T any](m objects[T], kind Kind, versions map[string]uint64) []T {
	names := slices.Sorted(maps.Keys(m))
	out := make([]T, 0, len(names))
	for _, name := range names {
		versions[Ref{kind, name}.String()] = m[name].version
		out = append(out, m[name].value)
	}
	return out
}

// Change makes the document a change with an id of the submitter's choice.
// Objects without an entry in Versions must not have changed after base.
func (d *Document) Change(id string, base uint64) (Change, error) {
	c := Change{ID: id}
	add := func(kind Kind, name string, value any) error {
		e := Edit{Ref: Ref{kind, name}, Base: base, AtMost: true}
		if v, ok := d.Versions[e.Ref.String()]; ok {
			e.Base, e.AtMost = v, false
		}
		var err error
		if value != nil {
			e.Body, err = encode(value)
		}
		c.Edits = append(c.Edits, e)
		return err
	}
	var faults []error
	for _, v := range d.Zones {
		faults = append(faults, add(KindZone, v.Name, v))
	}
	for _, v := range d.Services {
		faults = append(faults, add(KindService, v.Name, v))
	}
	for _, v := range d.Upstreams {
		faults = append(faults, add(KindUpstream, v.Name, v))
	}
	for _, v := range d.Rules {
		faults = append(faults, add(KindRule, v.Name, v))
	}
	for _, v := range d.Blocks {
		faults = append(faults, add(KindBlock, v.CIDR, v))
	}
	for _, v := range d.Links {
		faults = append(faults, add(KindLink, v.key(), v))
	}
	for _, v := range d.Removals {
		faults = append(faults, add(v.Kind, v.Name, nil))
	}
	return c, errors.Join(faults...)
}
