// Package httpserver runs HTTP servers whose connections end only between
// requests. A request that was read from a client gets a response even if the
// connection times out or the host stops at the same moment.
//
// A timer, http.Server.Shutdown and http.Server.SetKeepAlivesEnabled close a
// connection from another goroutine than the one that reads it, based on the
// last state that the reading goroutine recorded. That goroutine may have read
// another request in the meantime. The request is then served without a way to
// send the response, or dropped. In this package, only the goroutine that reads
// a connection ends it. Limits and Drain set the read deadline of the
// connection, and a read returns either bytes, which are served, or the end of
// the connection.
//
// A Budget bounds the connections of several servers and the memory of their
// headers. A header is given to the http.Server when it is complete, because it
// takes a multiple of its size once it is parsed. When the budget is used up, the
// connections whose clients keep the host waiting for the longest time end first;
// a request that is being served is never cut for others.
//
// The package owns the accepted connections, their phases, the limits on the
// duration of these phases and the budget. It relies on http.Server for the protocol and uses
// its ConnState and ConnContext hooks.
package httpserver
