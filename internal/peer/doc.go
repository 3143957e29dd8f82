// Package peer carries requests between hosts as msgpack frames over TCP. One
// connection carries many streams.
//
// A frame is a length of 4 bytes, big endian, followed by a msgpack array. A
// connection starts with a Hello in each direction. Either end may then open
// streams. A stream is a request, one response, and a body of any length after
// the response.
//
// The package guarantees that
//
//   - ErrNotSent proves that the request did not run: no byte of it left this
//     host, or the peer reported that it did not accept the stream. The request
//     may therefore be sent elsewhere. Any other error leaves open whether the
//     request ran.
//   - a request that arrives after its opener gave it up can be recognized
//     (Responder.Deadline), however long it was on the way and whatever the wall
//     clocks of the two hosts show.
//   - a body is either read completely or ends with an error. Body frames carry
//     their offset, and the end frame carries the total length. Frames that are
//     lost, repeated, out of order or of another stream therefore never make up
//     a body that looks complete.
//   - a stream never holds more than the flow-control window in memory, and a
//     stream that is read slowly does not delay the others on its connection.
//   - a response is delivered only to its own request, because a stream ID is
//     never reused on a connection.
//
// Mesh owns the connections. It makes them on demand and dials an unreachable
// peer at most once per redialDelay. It pings peers while streams to them are
// open, and each end closes a connection on which nothing was received for too
// long (see silenceTimeout). A host that stops instructs its peers to open no
// more streams (Mesh.GoAway). The package neither retries requests nor encrypts
// connections; encryption is up to the Transport. Both `cairndock serve` and
// `cairndock gateway` use the package.
package peer
