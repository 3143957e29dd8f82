// Package httpheader holds the rule on HTTP headers that both programs use.
package httpheader

import (
	"net/http"
	"strings"
)

// hopHeaders hold for one connection only (RFC 9110 section 7.6.1); the first
// proxies used Proxy-Connection in the same way.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd copies h without the headers that hold for one connection only: the
// standard ones and those that Connection names.
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
