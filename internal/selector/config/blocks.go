package config

import (
	"maps"
	"net/netip"

	"github.com/gaissmai/bart"
	"github.com/rotisserie/eris"
)

// manyEdits is the number of edits from which on a change copies the whole prefix
// table once, instead of one path of it for each block.
const manyEdits = 1000

// blocks are the blocks of client addresses, in a prefix table that finds the
// longest one that contains an address.
type blocks struct {
	table *bart.Table[blockEntry]
	// owned means that no other state shares table, so that it may be changed
	// in place.
	owned bool
	// zoneNames are the zones of all blocks ever set, and zoneIndex their
	// indexes.
	zoneNames []string
	zoneIndex map[string]uint32
}

// blockEntry is a block in the table. zone indexes blocks.zoneNames, so that
// 260,000 blocks do not hold as many strings.
type blockEntry struct {
	version uint64
	zone    uint32
}

func (b *blocks) size() int { return b.table.Size() }

// version returns 0 for a name that is no prefix, as no block has one.
func (b *blocks) version(name string) uint64 {
	prefix, err := netip.ParsePrefix(name)
	if err != nil {
		return 0
	}
	e, _ := b.table.Get(prefix)
	return e.version
}

func (b *blocks) each(f func(name string, version uint64, v any)) {
	for prefix, e := range b.table.All() {
		name := prefix.String()
		f(name, e.version, Block{CIDR: name, Zone: b.zone(e)})
	}
}

func (b *blocks) unshare(edits int) {
	if b.owned = edits >= manyEdits; b.owned {
		b.table = b.table.Clone()
	}
}

func (b *blocks) set(e Edit, rev uint64) error {
	prefix, err := netip.ParsePrefix(e.Ref.Name)
	if err != nil {
		return eris.Wrap(err, "parse block")
	}
	if len(e.Body) == 0 {
		if b.owned {
			b.table.Delete(prefix)
		} else {
			b.table = b.table.DeletePersist(prefix)
		}
		return nil
	}
	block, err := decode[Block](e.Body)
	if err != nil {
		return err
	}
	entry := blockEntry{version: rev, zone: b.zoneNumber(block.Zone)}
	if b.owned {
		b.table.Insert(prefix, entry)
	} else {
		b.table = b.table.InsertPersist(prefix, entry)
	}
	return nil
}

// zoneNumber returns the zone's index in zoneNames, adding it if it is new.
func (b *blocks) zoneNumber(name string) uint32 {
	if n, ok := b.zoneIndex[name]; ok {
		return n
	}
	b.zoneIndex = maps.Clone(b.zoneIndex)
	n := uint32(len(b.zoneNames))
	b.zoneIndex[name] = n
	b.zoneNames = append(b.zoneNames[:n:n], name)
	return n
}

// zone returns a block's zone.
func (b *blocks) zone(e blockEntry) string { return b.zoneNames[e.zone] }
