package peer

import "context"

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
	c, err := m.connect(ctx, addr)
	if err != nil {
		return zero, 0, err
	}
	response, err := c.call(ctx, kind, payload)
	if err != nil {
		return zero, 0, err
	}
	v, err := Decode[T](response)
	return v, len(payload) + len(response) + callOverhead, err
}
