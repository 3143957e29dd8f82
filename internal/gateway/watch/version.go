package watch

import (
	"cmp"
	"fmt"
)

// UnknownEra is the era of a version whose source did not report its era.
const UnknownEra = -1

// Version is the version of a table. The store increments one number with each change.
// When the store is restored from an older copy, the number goes back too, and the same
// numbers are assigned to other changes in the store's next era.
type Version struct {
	// Era counts the store's eras; 0 means that it is not known yet.
	Era int64 `msgpack:"e,omitempty"`
	// Number is unique within the era only.
	Number int64 `msgpack:"v"`
}

// Newer reports whether the version is newer than another one: of a later era, or of the
// same era with a higher number.
func (v Version) Newer(other Version) bool {
	return cmp.Or(cmp.Compare(v.Era, other.Era), cmp.Compare(v.Number, other.Number)) > 0
}

// inEra returns the version with UnknownEra replaced by the given era.
func (v Version) inEra(era int64) Version {
	if v.Era == UnknownEra {
		v.Era = era
	}
	return v
}

// String implements fmt.Stringer.
func (v Version) String() string { return fmt.Sprintf("%d of era %d", v.Number, v.Era) }
