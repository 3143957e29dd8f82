package httpserver

import (
	"io"
	"net/http"
)

// maxDiscarded is the maximum declared length of a body that is read after its request was
// responded to, in bytes, so that the connection can be used again.
const maxDiscarded = 64 << 10

// trackedBody records whether a body was read to its end.
type trackedBody struct {
	io.ReadCloser
	ended bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || err == io.EOF
	return n, err
}

// abandonBodies does not read the rest of a body that its handler has not read, if it is long
// or its length is not known. The http.Server would read up to 256 KiB of it before it
// responds, however slowly it arrives, to use the connection again.
func abandonBodies(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok || r.Body == nil || r.Body == http.NoBody {
			h.ServeHTTP(w, r)
			return
		}
		body := &trackedBody{ReadCloser: r.Body}
		inner := *r
		inner.Body = body
		h.ServeHTTP(w, &inner)
		if !body.ended && (r.ContentLength < 0 || r.ContentLength > maxDiscarded) {
			c.abandonBody()
			// Without a body the http.Server does not delay the close itself.
			r.Body = http.NoBody
		}
	})
}

// abandonBody makes reads of the rest of a body fail, and the connection end after the
// response.
func (c *conn) abandonBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandoned, c.linger = true, true
}
