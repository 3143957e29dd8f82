package peer

import (
	"bytes"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// Encode returns a message as a frame's payload.
func Encode(v any) ([]byte, error) {
	var body bytes.Buffer
	enc := msgpack.NewEncoder(&body)
	enc.UseCompactInts(true)
	err := enc.Encode(v)
	return body.Bytes(), eris.Wrap(err, "encode message")
}

// Decode reads a message from a frame's payload.
func Decode[T any](b []byte) (T, error) {
	var v T
	err := msgpack.Unmarshal(b, &v)
	return v, eris.Wrap(err, "decode message")
}
