package peer

import (
	"bytes"
	"context"
	"io"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// callOverhead is about how many bytes the frames of a call add to its request
// and response: an open, a reply and an end frame. Estimated from the frames'
// fields, not measured.
const callOverhead = 40

// Call sends a request without a body to a peer and decodes its response.
func Call[T any](ctx context.Context, m *Mesh, addr string, kind Kind, request any) (T, error) {
	response, _, err := CallSized[T](ctx, m, addr, kind, request)
	return response, err
}

// CallSized is Call that also returns about how many bytes were exchanged.
func CallSized[T any](ctx context.Context, m *Mesh, addr string, kind Kind, request any) (T, int, error) {
	var zero T
	payload, err := Encode(request)
	if err != nil {
		return zero, 0, err
	}
	response, err := m.call(ctx, addr, kind, payload)
	if err != nil {
		return zero, 0, err
	}
	v, err := Decode[T](response)
	return v, len(payload) + len(response) + callOverhead, err
}

// call opens a stream without a body and returns its response.
func (m *Mesh) call(ctx context.Context, addr string, kind Kind, payload []byte) ([]byte, error) {
	s, err := m.Open(ctx, addr, kind, payload)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	// A response without a body ends as well; reading to the end shows whether
	// it is complete.
	if _, err := io.Copy(io.Discard, s); err != nil {
		return nil, err
	}
	return s.Payload, nil
}

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
