package config

import (
	"maps"
	"net/netip"

	"github.com/gaissmai/bart"
	"github.com/rotisserie/eris"
)

// minEditsForClone is the minimum number of edits for which a change copies
// the whole prefix table once instead of copying one path of the table for
// each block.
const minEditsForClone = 1000

// blocks holds the blocks of client addresses in a prefix table, which finds
// the most specific block that contains an address.
type blocks struct {
	table *bart.Table[blockEntry]
	// owned means that no other state shares table and that table may be
	// modified in place.
	owned bool
	// zoneNames lists the zones of all blocks ever set. zoneIndex maps each
	// zone to its index in zoneNames.
	zoneNames []string
	zoneIndex map[string]uint32
}

// blockEntry is a block in the table. zone is an index into blocks.zoneNames,
// which saves one string for each of 260,000 blocks.
type blockEntry struct {
	version uint64
	zone    uint32
}

func (b *blocks) size() int { return b.table.Size() }

// version returns 0 for a name that is not a prefix, because no block has such
// a name.
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
	if b.owned = edits >= minEditsForClone; b.owned {
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

// zone returns the zone name of a block.
func (b *blocks) zone(e blockEntry) string { return b.zoneNames[e.zone] }
