// Package indirect sends requests through another host while this host reaches no upstream
// (package reach). The other host, which package fleet reports, sends the request to an
// upstream like a request of its own clients, and returns the response.
//
// A request takes one such hop at most. The other host refuses it, with the proof that it
// did not run, if it reaches no upstream either, is stopping, has no room or has an older
// configuration. The sender then asks the next host. If the connection to the other host
// breaks after the request was sent, the request may have run.
//
// choose.go decides which hosts to ask, message.go defines the messages and their meaning,
// and sender.go exchanges them. Package proxy serves the requests of other hosts.
package indirect
