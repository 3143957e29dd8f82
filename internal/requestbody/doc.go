// Package requestbody reads the bodies of requests into memory, because a request may be sent
// to more than one upstream, and bounds the memory of all bodies together. A host without this
// bound is ended by its platform when bodies that are each within their limit exceed its memory
// together, and with it all requests in flight.
//
// A body takes memory as it arrives, not by its declared length, in segments that are not
// copied when it grows. A body whose declared length has no room is refused before it is read,
// so that its client can turn to another host at once. When bodies that are being read exceed
// the memory together, those that arrive too slowly are turned away, and then those that began
// last. A part of the memory is kept for small bodies, so that a few large ones do not stop all
// other requests. A body that is alone in memory is never refused.
//
// The package has no network of its own: the caller sets the deadlines of the reader.
package requestbody
