package httpserver

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// refusalRetryAfter is the Retry-After of a request that was refused for lack of memory, in
// seconds.
const refusalRetryAfter = "1"

// Refusal is the reason why a request was refused before its header was complete.
type Refusal int

const (
	// HeaderTooLarge: the header exceeds its limit.
	HeaderTooLarge Refusal = iota + 1
	// HeadersFull: the headers in memory leave no room for the header.
	HeadersFull
)

// String returns the reason as it is logged.
func (r Refusal) String() string {
	if r == HeaderTooLarge {
		return "header-too-large"
	}
	return "headers-full"
}

// status returns the status of the response.
func (r Refusal) status() int {
	if r == HeaderTooLarge {
		return http.StatusRequestHeaderFieldsTooLarge
	}
	return http.StatusServiceUnavailable
}

// refuse responds to a request whose header is not complete, and ends the connection. The
// http.Server takes io.EOF for a client that has disconnected and does not respond.
func (c *conn) refuse(r Refusal) error {
	c.server.refused(c.RemoteAddr(), r)
	resp := http.Response{StatusCode: r.status(), ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, Close: true}
	for name, value := range c.server.refusalHeader {
		resp.Header.Set(name, value)
	}
	if r == HeadersFull {
		resp.Header.Set("Retry-After", refusalRetryAfter)
	}
	var text strings.Builder
	_ = resp.Write(&text) // a strings.Builder returns no error
	// Errors of the write mean that the client has disconnected.
	_ = c.Conn.SetWriteDeadline(time.Now().Add(lingerTime))
	_, _ = io.WriteString(c.Conn, text.String())
	c.setLinger()
	return io.EOF
}
