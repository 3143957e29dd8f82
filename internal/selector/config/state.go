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
// returns the next one, which shares what did not change.
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

// collection is what State does with the objects of any kind.
type collection interface {
	// size is how many objects there are.
	size() int
	// version returns the revision that last changed an object, 0 if there is
	// none.
	version(name string) uint64
	// unshare makes a copy that a change with so many edits may write to.
	unshare(edits int)
	// set writes an edit that is accepted at a revision.
	set(e Edit, rev uint64) error
	// each calls f with every object, in any order.
	each(f func(name string, version uint64, v any))
}

// NewState is the empty configuration at revision 0.
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

// collection returns the objects of a kind, or nil if there is no such kind.
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

// Revision is the number of the last change in the state, 0 for none.
func (s *State) Revision() uint64 { return s.revision }

// Digest is a hash of every object's name and version. If two hosts at the same
// revision have different digests, one of them has missed a change.
func (s *State) Digest() uint64 { return s.digest }

// version returns the revision that last changed the object, 0 if there is none.
func (s *State) version(ref Ref) uint64 {
	c := s.collection(ref.Kind)
	if c == nil {
		return 0
	}
	return c.version(ref.Name)
}

// conflict returns a conflict for the first edit whose object is not at the version
// that the edit requires, or nil.
func (s *State) conflict(c Change) *Conflict {
	for _, e := range c.Edits {
		have := s.version(e.Ref)
		if have == e.Base || (e.AtMost && have < e.Base) {
			continue
		}
		return &Conflict{Ref: e.Ref, Winner: have}
	}
	return nil
}

// With returns the state after an accepted change, whose revision must be the
// next one.
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

// unshareTouched copies the collections that a change will write to, so that the
// state before stays as it is.
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

// apply writes one edit into collections that are not shared.
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

// objectHash is an object's part of the digest: 0 if it does not exist. The digest
// is compared between hosts, so that this text must stay as it is.
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

// byName are the objects of one kind, by name.
type byName[T any] map[string]entry[T]

// sorted returns the objects by name.
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

// labelSets holds one map for each set of labels ever seen, by its text. They
// are few, and tens of thousands of upstreams share them; none is ever dropped.
var labelSets sync.Map

// intern makes the upstream share its strings and labels with others.
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
