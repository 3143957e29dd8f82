package watch

import (
	"bytes"
	"time"
)

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
		r.noteChange(row)
		old, ok := known[row.Key]
		switch {
		case ok && row.sameValue(old): // nothing new
		case ok && row.Version < old.Version:
			u.Reverted = append(u.Reverted, row)
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
		u.Reverted = append(u.Reverted, tombstone)
	}
	r.returnedAt = now
	r.confirm(now.Add(-p.Age), now)
	r.notifyChanged()
	u.StoreReturned = r.returnedAt
	return u
}

// sameValue reports whether neither row is a tombstone and both have the same value.
func (r Row) sameValue(other Row) bool {
	return !r.Deleted && !other.Deleted && r.Compressed == other.Compressed && bytes.Equal(r.Value, other.Value)
}
