package watch

import (
	"bytes"
	"time"
)

// Reverted is a row of a store that was restored from an older copy. It is either the
// store's value of the row, which may be older than the known one, or the tombstone of a
// known row that the store lacks.
type Reverted struct {
	Row
	// Known is the version number that the row had in the previous era.
	Known int64
}

// restore applies the first listing of a later era, which means that the store was
// restored from an older copy. It compares each listed row with the known one. r.mu is
// held.
//
// Both eras share the changes up to the copy, and the numbers after it are assigned a
// second time. A row with a higher number than the known row was therefore written after
// the restore. A row with a lower number is either part of the copy or was written after
// the restore under a reassigned number.
func (r *Replica) restore(p Page, now time.Time) Update {
	known := r.rows
	r.rows, r.deletedAt, r.sortedKeys = make(map[string]Row, len(p.Rows)), map[string]time.Time{}, nil
	r.version, r.historyFrom = p.Version, p.Version.Number
	r.lastChange = Version{Era: p.Version.Era}
	u := Update{Full: true, Restored: true}
	for _, row := range p.Rows {
		row = row.compressed()
		r.rows[row.Key] = row
		r.recordChange(row)
		old, ok := known[row.Key]
		switch {
		case ok && row.sameValue(old):
			u.Shared = max(u.Shared, sharedNumber(row, old))
		case ok && row.Version < old.Version:
			u.Reverted = append(u.Reverted, Reverted{Row: row, Known: old.Version})
		default:
			u.Rows = append(u.Rows, row)
		}
	}
	for key, old := range known {
		if _, listed := r.rows[key]; listed || old.Deleted {
			continue
		}
		tombstone := Row{Key: key, Version: p.Version.Number, Deleted: true}
		r.rows[key], r.deletedAt[key] = tombstone, now
		u.Reverted = append(u.Reverted, Reverted{Row: tombstone, Known: old.Version})
	}
	r.returnedAt = now
	r.confirm(now.Add(-p.Age), now)
	r.notifyChanged()
	u.StoreReturned = r.returnedAt
	return u
}

// sharedNumber returns the version number of two rows with the same value, or 0 if their
// numbers differ.
func sharedNumber(a, b Row) int64 {
	if a.Version != b.Version {
		return 0
	}
	return a.Version
}

// sameValue reports whether both rows have the same value and neither is a tombstone.
func (r Row) sameValue(other Row) bool {
	return !r.Deleted && !other.Deleted && r.Compressed == other.Compressed && bytes.Equal(r.Value, other.Value)
}
