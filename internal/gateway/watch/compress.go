package watch

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"
)

const (
	// minCompressSize is the minimum size in bytes of a value that is stored and relayed
	// compressed. A relay may have to send a large configuration to several hosts over a
	// slow link: uncompressed, a configuration of 1,160 routes for 26 hosts over 10
	// Mbit/s applied too late for 98 requests of a day.
	minCompressSize = 4 << 10
	// maxValueSize is the maximum size in bytes of a decompressed value: four times the
	// largest response that is read from the store.
	maxValueSize = 16 << 20
)

// compressed returns the row with its value compressed if the value is large. If
// compression fails, which writing to memory does not cause, the row is returned
// unchanged, because an uncompressed value is valid too.
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

// Bytes returns the row's value as stored in the store. A compressed value that expands to more
// than maxValueSize is an error.
func (r Row) Bytes() ([]byte, error) {
	if !r.Compressed {
		return r.Value, nil
	}
	reader := flate.NewReader(bytes.NewReader(r.Value))
	value, err := io.ReadAll(io.LimitReader(reader, maxValueSize+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress value")
	}
	if len(value) > maxValueSize {
		return nil, eris.Errorf("the decompressed value exceeds the limit of %d bytes", maxValueSize)
	}
	return value, nil
}
