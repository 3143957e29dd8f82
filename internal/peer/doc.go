// Package peer carries requests between hosts: framed msgpack over TCP, many
// streams on one connection.
//
// A frame is a length of 4 bytes, big endian, and a msgpack array. A connection
// begins with a Hello each way. Either end then opens streams: a request, one
// response, and a body of any length after it.
//
// It guarantees that
//   - ErrNotSent is proof: not a byte of the request left this host, or the peer
//     said that it did not take it. So it did not run and may be sent elsewhere.
//     Any other error leaves that open.
//   - a body is read whole or ends with an error. Frames of a body carry their
//     offset and its end the total, so that frames that are lost, repeated, out
//     of order or of another stream never pass for the body.
//   - a stream never holds more than the flow-control window in memory, and one
//     that is read slowly does not hold up the others of its connection.
//   - a response goes only to the request that it belongs to: the ID of a stream
//     is never used again on its connection.
//
// It owns the connections (Mesh), makes them on demand and dials a peer that
// cannot be reached at most every redialPause. It pings the peers of open streams,
// and each end closes a connection that went silent (silenceTimeout). A host that
// stops tells its peers to open no more streams (Mesh.GoAway). It does not retry
// requests and does not encrypt: Transport does.
// Both `cairndock serve` and `cairndock gateway` use it.
package peer
