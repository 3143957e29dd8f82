package watch

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"
)

const (
	// minCompressSize is the size in bytes from which a value is kept and relayed
	// compressed. A relay may have to send a large configuration to several
	// hosts over a thin link: uncompressed, 1,160 routes to 26 hosts over 10
	// Mbit/s were in force too late for 98 requests of a day.
	minCompressSize = 4 << 10
	// maxValueSize bounds a decompressed value in bytes: four times the
	// largest response that is read from the store.
	maxValueSize = 16 << 20
)

// compressed returns the row with its value compressed if it is large. On an
// error, which writing to memory does not cause, the row stays as it is: an
// uncompressed value is as good.
func (r Row) compressed() Row {
	if r.Compressed || len(r.Value) < minCompressSize {
		return r
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return r
	}
	if _, err := w.Write(r.Value); err != nil || w.Close() != nil {
		return r
	}
	r.Value, r.Compressed = bytes.Clone(b.Bytes()), true
	return r
}

// Bytes returns the row's value as the store has it. A value above maxValueSize is
// cut there, and is refused as a bad row by whoever decodes it.
func (r Row) Bytes() ([]byte, error) {
	if !r.Compressed {
		return r.Value, nil
	}
	reader := flate.NewReader(bytes.NewReader(r.Value))
	value, err := io.ReadAll(io.LimitReader(reader, maxValueSize))
	return value, eris.Wrap(err, "decompress value")
}
