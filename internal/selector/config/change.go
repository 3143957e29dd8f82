package config

import (
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// Ref names one object.
type Ref struct {
	Kind Kind   `msgpack:"k" json:"kind"`
	Name string `msgpack:"n" json:"name"`
}

// String gives "kind/name".
func (r Ref) String() string { return string(r.Kind) + "/" + r.Name }

// Edit sets or deletes one object.
type Edit struct {
	Ref Ref `msgpack:"r"`
	// Base is the revision at which the submitter last saw the object
	// change; zero says that the object must not exist.
	Base uint64 `msgpack:"b"`
	// AtMost makes Base an upper bound: the object may have any version up
	// to Base, or not exist.
	AtMost bool `msgpack:"m"`
	// Body is the encoded object; empty deletes it.
	Body []byte `msgpack:"o"`
}

// Change is a set of edits that is accepted whole or not at all.
type Change struct {
	// ID is the submitter's own name for the change, unique for ever.
	ID string `msgpack:"i"`
	// Revision is given when the change is accepted.
	Revision uint64 `msgpack:"v"`
	Edits    []Edit `msgpack:"e"`
}

// WithRevision gives a copy with the revision it was accepted at.
func (c Change) WithRevision(rev uint64) Change {
	c.Revision = rev
	return c
}

// Conflict says that an object moved on since the submitter read it.
type Conflict struct {
	Ref Ref `json:"object"`
	// Winner is the version now in force.
	Winner uint64 `json:"winner_revision"`
	// WinnerID is the change id that made it, where still known.
	WinnerID string `json:"winner_change,omitempty"`
}

// Error implements error.
func (c *Conflict) Error() string {
	return "object " + c.Ref.String() + " was changed by " + c.WinnerID
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
