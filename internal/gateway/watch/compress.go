package watch

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"
)

const (
	// packFrom is the size from which a value is kept and relayed
	// compressed, in bytes. One host of a region may have to send a large
	// configuration to all others over a thin link.
	compressFrom = 4 << 10
	// maxValue bounds a value once it is unpacked, in bytes.
	maxValue = 16 << 20
)

// packed gives the row with its value compressed if that is worth it.
func (r Row) compressed() Row {
	if r.Compressed || len(r.Value) < compressFrom {
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

// Bytes gives the row's value as the store has it.
func (r Row) Bytes() ([]byte, error) {
	if !r.Compressed {
		return r.Value, nil
	}
	reader := flate.NewReader(bytes.NewReader(r.Value))
	value, err := io.ReadAll(io.LimitReader(reader, maxValue))
	return value, eris.Wrap(err, "unpack value")
}
