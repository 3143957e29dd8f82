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
	inner     *limitedBody
	// reusable is false when the connection closes after the response.
	reusable    bool
	idleTimeout time.Duration
	// framed is set if the response may have a body, whose end must be right.
	framed bool
	// completeAt is when the body was completely read; zero before.
	completeAt time.Time
	closed     bool
}

// newBody returns the body of a response.
func (x *roundTrip) newBody(resp *http.Response) *body {
	return &body{
		roundTrip: x, inner: &limitedBody{resp.Body, x.client.limits.BodyBytes, x.bodyLimitError, false}, reusable: !resp.Close, idleTimeout: keepAliveTimeout(resp.Header),
		framed: mayHaveBody(x.request.Method, resp.StatusCode),
	}
}

// mayHaveBody reports whether a response may have a body (RFC 9110 section 6.4.1).
func mayHaveBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// Read returns io.EOF only after the complete body was read. It returns an error if the body
// exceeds its limit, or if bytes follow it that are not another response.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
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
	isLong := x.client.limits.BodyBytes-b.inner.left >= readBuffer
	return !strings.HasPrefix(statusLinePrefix, string(x.conn.next(len(statusLinePrefix), isLong)))
}

// Close returns the connection to the pool if the response was completely read.
// Otherwise it resets the connection, which cancels the request at the upstream. After a
// complete response it closes a connection whose context ended, because its deadline is in the
// past, and a connection with unread bytes after the response, because these can't be
// attributed.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	x := b.roundTrip
	interrupted := !x.stop()
	if b.completeAt.IsZero() {
		return x.conn.Close()
	}
	if !b.reusable || interrupted || x.conn.reader.Buffered() > 0 {
		x.conn.closeOrderly()
		return nil
	}
	x.client.pool.put(x.to.Run, x.conn, b.completeAt, b.idleTimeout)
	return nil
}

// limitedBody returns an error in place of the bytes of a body beyond a limit.
type limitedBody struct {
	io.ReadCloser
	// left is the number of bytes that the body may still have.
	left int64
	// err returns the error.
	err func() error
	// exact is set if the body must have all of these bytes.
	exact bool
}

func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if int64(n) > b.left {
		n, b.left = int(b.left), 0
		return n, b.err()
	}
	b.left -= int64(n)
	if err == io.EOF && b.exact && b.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// LimitIndirect applies the limit on bodies to a response that came through another host, which
// may have another limit or none, and requires a body of the declared length. It returns an error
// if the response declares a longer body.
func (c *Client) LimitIndirect(host, method string, r *Response) error {
	limitErr := func() error { return newBodyLimitError("host "+host, c.limits.BodyBytes) }
	tooLong := func() error { return errTrailingBytes }
	switch {
	case !mayHaveBody(method, r.Status):
		r.Body = &limitedBody{r.Body, 0, tooLong, false}
	case r.Length > c.limits.BodyBytes:
		return limitErr()
	case r.Length >= 0:
		r.Body = &limitedBody{r.Body, r.Length, tooLong, true}
	default:
		r.Body = &limitedBody{r.Body, c.limits.BodyBytes, limitErr, false}
	}
	return nil
}
