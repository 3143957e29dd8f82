package config

import (
	"cmp"
	"errors"
	"fmt"
	"iter"
	"net"
	"net/netip"
	"slices"
	"strings"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"cairndock/internal/tomlfile"
)

const (
	// maxSlots is the maximum number of slots of an upstream, because a
	// roster.SlotSet is one machine word of 64 bits.
	maxSlots = 64
	// maxTimeoutLimit is the upper bound of Service.MaxTimeout, which limits
	// how long the slots of a dead host stay unused.
	maxTimeoutLimit = 10 * time.Minute
	// defaultTimeout is the timeout of a service without a configured timeout.
	defaultTimeout = 2 * time.Second
	// defaultMaxTimeout is the maximum timeout of a service without a configured
	// maximum. A longer configured timeout replaces this default.
	defaultMaxTimeout = 10 * time.Second
	// defaultRetryShare limits retries as a share of requests, 0 to 1
	// (docs/design/request.md).
	defaultRetryShare = 0.1
	// defaultReservedShare is the share of a link that is reserved for
	// interactive traffic, 0 to 1.
	defaultReservedShare = 0.3
)

// Removal deletes one object.
type Removal struct {
	Kind Kind   `toml:"kind"`
	Name string `toml:"name"`
}

// Document is a configuration as operators write it. A document may contain only
// some of the objects; other objects stay unchanged.
type Document struct {
	Zones     []Zone     `toml:"zone,omitempty"`
	Services  []Service  `toml:"service,omitempty"`
	Upstreams []Upstream `toml:"upstream,omitempty"`
	Rules     []Rule     `toml:"rule,omitempty"`
	Blocks    []Block    `toml:"block,omitempty"`
	Links     []Link     `toml:"link,omitempty"`
	Removals  []Removal  `toml:"remove,omitempty"`
	// Versions holds the object versions that the submitter read, by
	// "kind/name".
	Versions map[string]uint64 `toml:"versions,omitempty"`
}

// ParseDocument decodes a TOML document, applies defaults and validates every
// value. Unknown keys are faults. The returned error joins one tomlfile.KeyError
// for each fault.
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
		s.Class = cmp.Or(s.Class, Interactive)
		s.Repeat = cmp.Or(s.Repeat, RepeatNever)
		s.Prefer = cmp.Or(s.Prefer, PreferLatency)
		s.Timeout = cmp.Or(s.Timeout, Duration(defaultTimeout))
		s.MaxTimeout = cmp.Or(s.MaxTimeout, max(Duration(defaultMaxTimeout), s.Timeout))
	}
	for i := range d.Upstreams {
		d.Upstreams[i].State = cmp.Or(d.Upstreams[i].State, StateLive)
	}
}

// faults collects the faults of a document, or of the state after a change.
type faults []error

func (f *faults) add(ref Ref, key, format string, args ...any) {
	*f = append(*f, tomlfile.KeyError{
		Key: fmt.Sprintf("%s[%q].%s", ref.Kind, ref.Name, key), Problem: fmt.Sprintf(format, args...),
	})
}

// checker collects the faults of one object.
type checker struct {
	ref Ref
	*faults
}

func (c checker) require(ok bool, key, format string, args ...any) {
	if !ok {
		c.add(c.ref, key, format, args...)
	}
}

func (c checker) share(v float64, key string) {
	c.require(v >= 0 && v <= 1, key, "must be from 0 to 1, is %v", v)
}

// object is the interface that a document uses for objects of all kinds.
type object interface {
	// ref identifies the object.
	ref() Ref
	// check adds the faults that do not depend on other objects to c.
	check(c checker)
}

// objects iterates over all objects of the document by kind, followed by its
// removals.
func (d *Document) objects() iter.Seq[object] {
	return func(yield func(object) bool) {
		_ = each(d.Zones, yield) && each(d.Services, yield) && each(d.Upstreams, yield) && each(d.Rules, yield) &&
			each(d.Blocks, yield) && each(d.Links, yield) && each(d.Removals, yield)
	}
}

// each yields pointers to the elements of list. It returns false if yield
// stopped the iteration.
func each[T any, P interface {
	*T
	object
}](list []T, yield func(object) bool) bool {
	for i := range list {
		if !yield(P(&list[i])) {
			return false
		}
	}
	return true
}

// check returns every fault that can be found without the current state, and
// normalizes the names of blocks.
func (d *Document) check() error {
	var found faults
	seen := map[Ref]bool{}
	for o := range d.objects() {
		c := checker{o.ref(), &found}
		c.require(c.ref.Name != "", "name", "must be set")
		c.require(!seen[c.ref], "name", "stands twice in the document")
		seen[c.ref] = true
		o.check(c)
	}
	return errors.Join(found...)
}

func (z *Zone) check(c checker) { c.require(z.Region != "", "region", "must be set") }

func (s *Service) check(c checker) {
	c.require(!strings.Contains(s.Name, "/"), "name", "must hold no slash")
	c.require(s.Class == Interactive || s.Class == Bulk, "class", "must be interactive or bulk, is %q", s.Class)
	c.require(slices.Contains([]Repeat{RepeatNever, RepeatSafe, RepeatAlways}, s.Repeat),
		"repeat", "must be never, safe or always, is %q", s.Repeat)
	c.require(s.Prefer == PreferLatency || s.Prefer == PreferHeadroom,
		"prefer", "must be latency or headroom, is %q", s.Prefer)
	c.require(s.Timeout > 0 && s.Timeout <= s.MaxTimeout, "timeout", "must be above 0 and at most max_timeout")
	c.require(s.MaxTimeout <= Duration(maxTimeoutLimit), "max_timeout", "must be at most %s", maxTimeoutLimit)
	c.share(s.RetryBudget(), "retry_share")
}

func (u *Upstream) check(c checker) {
	c.require(u.Service != "", "service", "must be set")
	c.require(u.Zone != "", "zone", "must be set")
	c.require(u.Slots > 0 && u.Slots <= maxSlots, "slots", "must be from 1 to %d, is %d", maxSlots, u.Slots)
	c.require(u.State == StateLive || u.State == StateLeaving, "state", "must be live or leaving, is %q", u.State)
	_, _, err := net.SplitHostPort(u.Addr)
	c.require(err == nil, "addr", "must be address:port, is %q", u.Addr)
}

func (r *Rule) check(c checker) {
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

func (b *Block) check(c checker) {
	prefix, err := netip.ParsePrefix(b.CIDR)
	c.require(err == nil, "cidr", "must be a CIDR block, is %q", b.CIDR)
	c.require(b.Zone != "", "zone", "must be set")
	if err == nil {
		b.CIDR = prefix.Masked().String()
	}
}

func (l *Link) check(c checker) {
	c.require(l.BytesPerSecond > 0, "bytes_per_second", "must be above 0")
	c.share(l.ReservedShare(), "reserved")
}

func (r *Removal) check(c checker) {
	c.require(slices.Contains(kinds, r.Kind), "kind", "unknown kind %q", r.Kind)
}

// Document returns the whole state as a document, with every object's version.
func (s *State) Document() Document {
	d := Document{
		Zones: s.zones.sorted(), Services: s.services.sorted(), Upstreams: s.upstreams.sorted(),
		Rules: s.rules.sorted(), Links: s.links.sorted(), Versions: map[string]uint64{},
	}
	for prefix, b := range s.blocks.table.AllSorted() {
		d.Blocks = append(d.Blocks, Block{CIDR: prefix.String(), Zone: s.blocks.zone(b)})
	}
	for o := range d.objects() {
		d.Versions[o.ref().String()] = s.version(o.ref())
	}
	return d
}

// Change converts the document to a change with the given id. Objects without
// an entry in Versions must not have changed after revision base.
func (d *Document) Change(id string, base uint64) (Change, error) {
	c := Change{ID: id}
	var errs []error
	for o := range d.objects() {
		e := Edit{Ref: o.ref(), Base: base, AtMost: true}
		if v, ok := d.Versions[e.Ref.String()]; ok {
			e.Base, e.AtMost = v, false
		}
		if _, removal := o.(*Removal); !removal {
			var err error
			e.Body, err = encode(o)
			errs = append(errs, err)
		}
		c.Edits = append(c.Edits, e)
	}
	return c, errors.Join(errs...)
}
