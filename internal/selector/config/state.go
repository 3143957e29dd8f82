package config

import (
	"maps"
	"net/netip"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/gaissmai/bart"
	"github.com/rotisserie/eris"
)

// entry is an object and the revision that last changed it.
type entry[T any] struct {
	version uint64
	value   T
}

// blockEntry is a block in the prefix table. zone indexes State.zoneNames, so
// that 260,000 blocks do not hold as many strings.
type blockEntry struct {
	version uint64
	zone    uint32
}

// State is the whole configuration at one revision. It is immutable: With
// returns the next one, which shares what did not change.
type State struct {
	revision uint64
	digest   uint64

	zones     map[string]entry[Zone]
	services  map[string]entry[Service]
	upstreams map[string]entry[Upstream]
	rules     map[string]entry[Rule]
	links     map[string]entry[Link]
	blocks    *bart.Table[blockEntry]

	// zoneNames are the zones of all blocks ever set, and zoneIndex their
	// indexes.
	zoneNames []string
	zoneIndex map[string]uint32
	// ownBlocks means that no other state shares blocks yet, so that it may be
	// changed in place.
	ownBlocks bool
}

// NewState is the empty configuration at revision 0.
func NewState() *State {
	return &State{
		zones:     map[string]entry[Zone]{},
		services:  map[string]entry[Service]{},
		upstreams: map[string]entry[Upstream]{},
		rules:     map[string]entry[Rule]{},
		links:     map[string]entry[Link]{},
		blocks:    &bart.Table[blockEntry]{},
		zoneIndex: map[string]uint32{},
	}
}

// Revision is the number of the last change in the state, 0 for none.
func (s *State) Revision() uint64 { return s.revision }

// Digest is a hash of every object's name and version. If two hosts at the same
// revision have different digests, one of them has missed a change.
func (s *State) Digest() uint64 { return s.digest }

// version returns the revision that last changed the object, 0 if there is none.
func (s *State) version(ref Ref) uint64 {
	switch ref.Kind {
	case KindZone:
		return s.zones[ref.Name].version
	case KindService:
		return s.services[ref.Name].version
	case KindUpstream:
		return s.upstreams[ref.Name].version
	case KindRule:
		return s.rules[ref.Name].version
	case KindLink:
		return s.links[ref.Name].version
	case KindBlock:
		return s.blockVersion(ref.Name)
	}
	return 0
}

// blockVersion is version for a block. No block has a name that is no prefix.
func (s *State) blockVersion(name string) uint64 {
	prefix, err := netip.ParsePrefix(name)
	if err != nil {
		return 0
	}
	b, _ := s.blocks.Get(prefix)
	return b.version
}

// check returns a conflict for the first edit whose object is not at the version
// that the edit requires, or nil.
func (s *State) check(c Change) *Conflict {
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
	next.copyTouched(c)
	for _, e := range c.Edits {
		if err := next.apply(e, c.Revision); err != nil {
			return nil, eris.Wrapf(err, "apply %s", e.Ref)
		}
	}
	next.ownBlocks = false
	return &next, nil
}

// copyTouched copies what a change will write, so that the state before stays as
// it is.
func (s *State) copyTouched(c Change) {
	touched := map[Kind]bool{}
	for _, e := range c.Edits {
		touched[e.Ref.Kind] = true
	}
	if touched[KindZone] {
		s.zones = maps.Clone(s.zones)
	}
	if touched[KindService] {
		s.services = maps.Clone(s.services)
	}
	if touched[KindUpstream] {
		s.upstreams = maps.Clone(s.upstreams)
	}
	if touched[KindRule] {
		s.rules = maps.Clone(s.rules)
	}
	if touched[KindLink] {
		s.links = maps.Clone(s.links)
	}
	if s.ownBlocks = len(c.Edits) >= manyEdits; s.ownBlocks {
		s.blocks = s.blocks.Clone()
	}
}

// manyEdits is the number of edits from which on a change copies the whole prefix
// table once, instead of one path of it for each block. Chosen, not measured.
const manyEdits = 1000

// apply writes one edit into a state that is not shared yet.
func (s *State) apply(e Edit, rev uint64) error {
	s.digest ^= objectHash(e.Ref, s.version(e.Ref))
	if len(e.Body) > 0 {
		s.digest ^= objectHash(e.Ref, rev)
	}
	switch e.Ref.Kind {
	case KindZone:
		return set(s.zones, e, rev)
	case KindService:
		return set(s.services, e, rev)
	case KindUpstream:
		return set(s.upstreams, e, rev)
	case KindRule:
		return set(s.rules, e, rev)
	case KindLink:
		return set(s.links, e, rev)
	case KindBlock:
		return s.setBlock(e, rev)
	}
	return eris.Errorf("unknown kind %q", e.Ref.Kind)
}

// set writes an edit into the objects of its kind.
func set[T any](m map[string]entry[T], e Edit, rev uint64) error {
	if len(e.Body) == 0 {
		delete(m, e.Ref.Name)
		return nil
	}
	v, err := decode[T](e.Body)
	if err != nil {
		return err
	}
	if u, ok := any(&v).(*Upstream); ok {
		u.intern()
	}
	m[e.Ref.Name] = entry[T]{version: rev, value: v}
	return nil
}

func (s *State) setBlock(e Edit, rev uint64) error {
	prefix, err := netip.ParsePrefix(e.Ref.Name)
	if err != nil {
		return eris.Wrap(err, "parse block")
	}
	if len(e.Body) == 0 {
		if s.ownBlocks {
			s.blocks.Delete(prefix)
		} else {
			s.blocks = s.blocks.DeletePersist(prefix)
		}
		return nil
	}
	b, err := decode[Block](e.Body)
	if err != nil {
		return err
	}
	entry := blockEntry{version: rev, zone: s.zoneNumber(b.Zone)}
	if s.ownBlocks {
		s.blocks.Insert(prefix, entry)
	} else {
		s.blocks = s.blocks.InsertPersist(prefix, entry)
	}
	return nil
}

// zoneNumber returns the zone's index in zoneNames, adding it if it is new.
func (s *State) zoneNumber(name string) uint32 {
	if n, ok := s.zoneIndex[name]; ok {
		return n
	}
	s.zoneIndex = maps.Clone(s.zoneIndex)
	n := uint32(len(s.zoneNames))
	s.zoneIndex[name] = n
	s.zoneNames = append(s.zoneNames[:n:n], name)
	return n
}

// clientZone returns the zone of the longest block that contains addr, or "".
func (s *State) clientZone(addr netip.Addr) string {
	b, ok := s.blocks.Lookup(addr.Unmap())
	if !ok {
		return ""
	}
	return s.zoneNames[b.zone]
}

// objectHash is an object's part of the digest: 0 if it does not exist. The digest
// is compared between hosts, so that this text must stay as it is.
func objectHash(ref Ref, version uint64) uint64 {
	if version == 0 {
		return 0
	}
	return xxhash.Sum64String(string(ref.Kind) + "/" + ref.Name + "@" + strconv.FormatUint(version, 10))
}
