package config

import (
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// Ref identifies one object.
type Ref struct {
	Kind Kind   `msgpack:"k" json:"kind"`
	Name string `msgpack:"n" json:"name"`
}

// String returns "kind/name".
func (r Ref) String() string { return string(r.Kind) + "/" + r.Name }

// Edit sets or deletes one object.
type Edit struct {
	Ref Ref `msgpack:"r"`
	// Base is the version that the object must have; 0 means that the object
	// must not exist.
	Base uint64 `msgpack:"b"`
	// AtMost makes Base an upper bound: the object may have any version up to
	// Base, or not exist.
	AtMost bool `msgpack:"m"`
	// Body is the encoded object; an empty Body deletes the object.
	Body []byte `msgpack:"o"`
}

// Change is a set of edits that is accepted atomically.
type Change struct {
	// ID is chosen by the submitter and must be unique to the change.
	ID string `msgpack:"i"`
	// Revision is assigned when the change is accepted.
	Revision uint64 `msgpack:"v"`
	Edits    []Edit `msgpack:"e"`
}

// WithRevision returns a copy of c with the revision at which it was accepted.
func (c Change) WithRevision(rev uint64) Change {
	c.Revision = rev
	return c
}

// Conflict is the error for an edit whose object was changed after the submitter
// read it. In JSON it is also the operator API's response.
type Conflict struct {
	Ref Ref `json:"object"`
	// Winner is the object's current version, 0 if the object does not exist.
	Winner uint64 `json:"winner_revision"`
	// WinnerID is the id of the change that set this version, if it could be
	// read.
	WinnerID string `json:"winner_change,omitempty"`
}

// Error implements error.
func (c *Conflict) Error() string {
	return fmt.Sprintf("object %s was changed at revision %d by change %q", c.Ref, c.Winner, c.WinnerID)
}

func encode(v any) ([]byte, error) {
	b, err := msgpack.Marshal(v)
	return b, eris.Wrap(err, "encode object")
}

func decode[T any](b []byte) (T, error) {
	var v T
	err := msgpack.Unmarshal(b, &v)
	return v, eris.Wrap(err, "decode object")
}
