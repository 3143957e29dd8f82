package watch

import (
	"bytes"
	"time"
)

// Reverted is a row of a store that came back from an older copy which may be older than
// what was known, or the tombstone of a known row that the store lacks.
type Reverted struct {
	Row
	// Known is the number that the known row had in the era before.
	Known int64
}

// restore applies the first listing of a later era: the store came back from an older copy,
// and its version of each row is compared with the one known. r.mu is held.
//
// Both eras have the changes up to the copy in common, and the numbers after it twice. So a
// row with a higher number than the known one was written since; one with a lower number is
// the copy's, or was written since under a number that is given out again.
func (r *Replica) restore(p Page, now time.Time) Update {
	known := r.rows
	r.rows, r.deletedAt = make(map[string]Row, len(p.Rows)), map[string]time.Time{}
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

// sharedNumber returns the number of two rows of the same value, if they have the same.
func sharedNumber(a, b Row) int64 {
	if a.Version != b.Version {
		return 0
	}
	return a.Version
}

// sameValue reports whether neither row is a tombstone and both have the same value.
func (r Row) sameValue(other Row) bool {
	return !r.Deleted && !other.Deleted && r.Compressed == other.Compressed && bytes.Equal(r.Value, other.Value)
}
