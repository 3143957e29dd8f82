// Package httpserver runs HTTP servers whose connections end only between
// requests: whatever was read from a client is answered, also when the
// connection's time is over or the host stops at that moment.
//
// A timer, http.Server.Shutdown and http.Server.SetKeepAlivesEnabled close a
// connection from another goroutine than the one that reads it, by what that one
// noted last. It may have read a request since, which is then served, or dropped,
// with nobody to answer to. Here only the goroutine that reads a connection ends
// it: limits and Drain set the deadline of its reads, and a read gives either
// bytes, which are served, or the end.
//
// The package owns accepted connections, what each is doing, and how long it may
// take. It relies on http.Server for the protocol, and on its ConnState hook.
package httpserver
