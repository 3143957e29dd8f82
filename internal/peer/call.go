package peer

import (
	"bytes"
	"context"
	"io"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// callOverhead is the estimated number of bytes that the frames of a call add
// to its request and response: an open, a reply and an end frame. It is derived
// from the fields of these frames.
const callOverhead = 40

// Call sends a request without a body to a peer and decodes the response.
func Call[T any](ctx context.Context, m *Mesh, addr string, kind Kind, request any) (T, error) {
	response, _, err := CallSized[T](ctx, m, addr, kind, request)
	return response, err
}

// CallSized is like Call, but also returns the approximate number of bytes
// exchanged.
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

// call sends a request without a body on a new stream and returns the encoded
// response.
func (m *Mesh) call(ctx context.Context, addr string, kind Kind, payload []byte) ([]byte, error) {
	s, err := m.Open(ctx, addr, kind, payload)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	// A response without a body has an end frame too. Reading up to it verifies
	// that the response is complete.
	n, err := io.Copy(io.Discard, io.LimitReader(s, maxFrame+1))
	if err != nil {
		return nil, err
	}
	if n > maxFrame {
		return nil, eris.Wrapf(errInvalidFrame, "the body after the response to a call exceeds %d bytes", maxFrame)
	}
	return s.Payload, nil
}

// Encode encodes a message as the payload of a frame.
func Encode(v any) ([]byte, error) {
	var body bytes.Buffer
	enc := msgpack.NewEncoder(&body)
	enc.UseCompactInts(true)
	err := enc.Encode(v)
	return body.Bytes(), eris.Wrap(err, "encode message")
}

// Decode decodes a message from the payload of a frame.
func Decode[T any](b []byte) (T, error) {
	var v T
	err := msgpack.Unmarshal(b, &v)
	return v, eris.Wrap(err, "decode message")
}
