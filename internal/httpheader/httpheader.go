// Package httpheader selects the HTTP headers that both programs forward.
package httpheader

import (
	"net/http"
	"strings"
)

// hopHeaders are the headers that apply to a single connection (RFC 9110
// section 7.6.1). Proxy-Connection is not in the standard, but early proxies
// used it in the same way.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of h without the headers that apply to a single
// connection: the standard ones and those that Connection names. The result is
// never nil.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, field := range h.Values("Connection") {
		for name := range strings.SplitSeq(field, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}
