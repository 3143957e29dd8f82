package exchange

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// errTrailingBytes is the error of a body after which bytes follow that are not another response.
// Its length is wrong, so that it is not known where the body ends.
var errTrailingBytes = eris.New("bytes follow the response after its end")

// body is a response's body. Closing it returns the connection to the pool.
type body struct {
	roundTrip *roundTrip
	inner     io.ReadCloser
	// reusable is false when the connection closes after the response.
	reusable    bool
	idleTimeout time.Duration
	// framed is set if the response may have a body, whose end must be right.
	framed bool
	// left is the number of bytes that the body may still have.
	left int64
	// completeAt is when the body was completely read; zero before.
	completeAt time.Time
	closed     bool
}

// newBody returns the body of a response.
func (x *roundTrip) newBody(resp *http.Response) *body {
	return &body{
		roundTrip: x, inner: resp.Body, reusable: !resp.Close, idleTimeout: keepAliveTimeout(resp.Header),
		framed: x.mayHaveBody(resp), left: x.client.limits.BodyBytes,
	}
}

// mayHaveBody reports whether a response may have a body (RFC 9110 section 6.4.1).
func (x *roundTrip) mayHaveBody(resp *http.Response) bool {
	return x.request.Method != http.MethodHead && resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified
}

// Read returns io.EOF only after the complete body was read. It returns an error if the body
// exceeds its limit, or if bytes follow it that are not another response.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	if int64(n) > b.left {
		n, b.left = int(b.left), 0
		return n, b.roundTrip.bodyLimitError()
	}
	b.left -= int64(n)
	if err == io.EOF && b.completeAt.IsZero() {
		if b.framed && b.hasTrailingBytes() {
			return 0, errTrailingBytes // without its last bytes, the body doesn't look complete to a client
		}
		b.completeAt = time.Now()
	}
	return n, err
}

// hasTrailingBytes reports whether bytes have arrived after the body that cannot begin another
// response. A late response to an earlier request may follow. The end of a long body is not read
// through the buffer, so that the kernel has the bytes after it.
func (b *body) hasTrailingBytes() bool {
	x := b.roundTrip
	isLong := x.client.limits.BodyBytes-b.left >= readBuffer
	return !strings.HasPrefix(statusLinePrefix, string(x.conn.next(len(statusLinePrefix), isLong)))
}

// Close returns the connection to the pool if the response was completely read.
// Otherwise it closes the connection, which cancels the request at the upstream. It also
// closes a connection whose context ended, because its deadline is in the past, and a
// connection with unread bytes after the response, because these can't be attributed.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	x := b.roundTrip
	interrupted := !x.stop()
	if b.completeAt.IsZero() || !b.reusable || interrupted || x.conn.reader.Buffered() > 0 {
		return x.conn.Close()
	}
	x.client.pool.put(x.to.Run, x.conn, b.completeAt, b.idleTimeout)
	return nil
}
