package config

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"unique"

	"github.com/cespare/xxhash/v2"
	"github.com/gaissmai/bart"
	"github.com/rotisserie/eris"
)

// State is the whole configuration at one revision. It is immutable: With
// returns a new State that shares unchanged objects with the old one.
type State struct {
	revision uint64
	digest   uint64

	zones     byName[Zone]
	services  byName[Service]
	upstreams byName[Upstream]
	rules     byName[Rule]
	links     byName[Link]
	blocks    blocks
}

// collection is the interface that State uses for the objects of each kind.
type collection interface {
	// size returns the number of objects.
	size() int
	// version returns the revision that last changed an object, or 0 if the
	// object does not exist.
	version(name string) uint64
	// unshare copies shared data before a change with the given number of edits
	// is applied.
	unshare(edits int)
	// set applies an edit that was accepted at revision rev.
	set(e Edit, rev uint64) error
	// each calls f with every object, in any order.
	each(f func(name string, version uint64, v any))
}

// NewState returns the empty configuration at revision 0.
func NewState() *State {
	return &State{
		zones:     byName[Zone]{},
		services:  byName[Service]{},
		upstreams: byName[Upstream]{},
		rules:     byName[Rule]{},
		links:     byName[Link]{},
		blocks:    blocks{table: &bart.Table[blockEntry]{}, zoneIndex: map[string]uint32{}},
	}
}

// collection returns the objects of a kind, or nil if the kind is unknown.
func (s *State) collection(kind Kind) collection {
	switch kind {
	case KindZone:
		return &s.zones
	case KindService:
		return &s.services
	case KindUpstream:
		return &s.upstreams
	case KindRule:
		return &s.rules
	case KindLink:
		return &s.links
	case KindBlock:
		return &s.blocks
	}
	return nil
}

// Revision returns the revision of the last change in the state, 0 if there was
// none.
func (s *State) Revision() uint64 { return s.revision }

// Digest returns a hash of the names and versions of all objects. If two hosts
// at the same revision have different digests, one of them has missed a change.
func (s *State) Digest() uint64 { return s.digest }

// version returns the revision that last changed the object, or 0 if the object
// does not exist.
func (s *State) version(ref Ref) uint64 {
	c := s.collection(ref.Kind)
	if c == nil {
		return 0
	}
	return c.version(ref.Name)
}

// conflict returns a conflict for the first edit whose object does not have the
// version that the edit requires, or nil if there is none.
func (s *State) conflict(c Change) *Conflict {
	for _, e := range c.Edits {
		current := s.version(e.Ref)
		if current == e.Base || (e.AtMost && current < e.Base) {
			continue
		}
		return &Conflict{Ref: e.Ref, Winner: current}
	}
	return nil
}

// With returns the state after an accepted change. The revision of the change
// must follow the revision of s.
func (s *State) With(c Change) (*State, error) {
	if c.Revision != s.revision+1 {
		return nil, eris.Errorf("change %s has revision %d after %d", c.ID, c.Revision, s.revision)
	}
	next := *s
	next.revision = c.Revision
	next.unshareTouched(c)
	for _, e := range c.Edits {
		if err := next.apply(e, c.Revision); err != nil {
			return nil, eris.Wrapf(err, "apply %s", e.Ref)
		}
	}
	next.blocks.owned = false
	return &next, nil
}

// unshareTouched copies the collections that a change will modify, to leave the
// previous state unchanged.
func (s *State) unshareTouched(c Change) {
	touched := map[Kind]bool{}
	for _, e := range c.Edits {
		objects := s.collection(e.Ref.Kind)
		if objects != nil && !touched[e.Ref.Kind] {
			objects.unshare(len(c.Edits))
		}
		touched[e.Ref.Kind] = true
	}
}

// apply applies one edit. The collection of its kind must not be shared.
func (s *State) apply(e Edit, rev uint64) error {
	c := s.collection(e.Ref.Kind)
	if c == nil {
		return eris.Errorf("unknown kind %q", e.Ref.Kind)
	}
	s.digest ^= objectHash(e.Ref, c.version(e.Ref.Name))
	if len(e.Body) > 0 {
		s.digest ^= objectHash(e.Ref, rev)
	}
	return c.set(e, rev)
}

// objectHash returns the contribution of an object to the digest, 0 if the
// object does not exist. Hosts compare digests with each other, so the hashed
// text must not change.
func objectHash(ref Ref, version uint64) uint64 {
	if version == 0 {
		return 0
	}
	return xxhash.Sum64String(string(ref.Kind) + "/" + ref.Name + "@" + strconv.FormatUint(version, 10))
}

// entry is an object and the revision that last changed it.
type entry[T any] struct {
	version uint64
	value   T
}

// byName holds the objects of one kind by name.
type byName[T any] map[string]entry[T]

// sorted returns the objects, sorted by name.
func (o byName[T]) sorted() []T {
	out := make([]T, 0, len(o))
	for _, name := range slices.Sorted(maps.Keys(o)) {
		out = append(out, o[name].value)
	}
	return out
}

func (o *byName[T]) size() int { return len(*o) }

func (o *byName[T]) version(name string) uint64 { return (*o)[name].version }

func (o *byName[T]) each(f func(name string, version uint64, v any)) {
	for name, e := range *o {
		f(name, e.version, e.value)
	}
}

func (o *byName[T]) unshare(int) { *o = maps.Clone(*o) }

func (o *byName[T]) set(e Edit, rev uint64) error {
	if len(e.Body) == 0 {
		delete(*o, e.Ref.Name)
		return nil
	}
	v, err := decode[T](e.Body)
	if err != nil {
		return err
	}
	if u, ok := any(&v).(*Upstream); ok {
		u.intern()
	}
	(*o)[e.Ref.Name] = entry[T]{version: rev, value: v}
	return nil
}

// labelSets holds one map for each distinct set of labels, with the encoded set
// as key. Entries are never removed, because there are few distinct sets, which
// tens of thousands of upstreams share.
var labelSets sync.Map

// intern replaces the upstream's strings and labels with shared copies.
func (u *Upstream) intern() {
	u.Service = unique.Make(u.Service).Value()
	u.Zone = unique.Make(u.Zone).Value()
	u.State = UpstreamState(unique.Make(string(u.State)).Value())
	if len(u.Labels) == 0 {
		return
	}
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(u.Labels)) {
		text.WriteString(name + "\x00" + u.Labels[name] + "\x00")
	}
	shared, _ := labelSets.LoadOrStore(text.String(), u.Labels)
	u.Labels = shared.(map[string]string)
}
