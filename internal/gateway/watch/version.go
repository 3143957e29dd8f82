package watch

import (
	"cmp"
	"fmt"
)

// UnknownEra is the era of a version whose source did not say it.
const UnknownEra = -1

// Version is the version of a table. The store raises one number with each change. When it
// comes back from an older copy the number goes back and is given out again, for other
// changes, in the store's next era.
type Version struct {
	// Era counts the store's eras; 0 is not known yet.
	Era int64 `msgpack:"e,omitempty"`
	// Number is unique within the era only.
	Number int64 `msgpack:"v"`
}

// Newer reports whether the version was given out after another one.
func (v Version) Newer(other Version) bool {
	return cmp.Or(cmp.Compare(v.Era, other.Era), cmp.Compare(v.Number, other.Number)) > 0
}

// inEra returns the version with an era in place of one that its source did not say.
func (v Version) inEra(era int64) Version {
	if v.Era == UnknownEra {
		v.Era = era
	}
	return v
}

// String implements fmt.Stringer.
func (v Version) String() string { return fmt.Sprintf("%d of era %d", v.Number, v.Era) }
