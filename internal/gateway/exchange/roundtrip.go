package exchange

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxWrongResponses is the maximum number of responses to other requests that are
	// skipped on one connection before the connection is closed. The platform sends at
	// most one extra response late.
	maxWrongResponses = 4
	// headerReserve is the initial space for a request's header in the buffer for its
	// encoding, in bytes. The buffer grows if necessary.
	headerReserve = 512
	// maxCopiedBody is the maximum size of a body, in bytes, that is copied behind the
	// header. A larger one is written from where it is, so that an attempt needs no memory
	// for it.
	maxCopiedBody = 32 << 10
)

// roundTrip is one request on one connection.
type roundTrip struct {
	client *Client
	conn   *conn
	// to is the upstream at the other end of the connection.
	to      Target
	request *Request
	// stop ends the watch on the context; it returns false when the context has ended
	// and interrupt was started.
	stop func() bool
	// silence watches for the first byte of a response.
	silence *silenceWatch
	// progress records how the connection ended, for the sender.
	progress *Progress
}

// expiredDeadline is a deadline in the past.
var expiredDeadline = time.Unix(1, 0)

// interrupt unblocks reads and writes of the connection when the context ends.
func (x *roundTrip) interrupt() {
	// An error means that the connection is closed, which unblocks them too.
	_ = x.conn.SetDeadline(expiredDeadline)
}

// write writes the request and returns the number of written bytes. left is the time left for
// the response.
func (x *roundTrip) write(left time.Duration) (int64, error) {
	start := x.encode(left)
	if x.request.BodySize() <= maxCopiedBody {
		n, err := x.conn.Write(start)
		return int64(n), err
	}
	out := append(net.Buffers{start}, x.request.Body...)
	return out.WriteTo(x.conn.Conn)
}

// encode returns the request in its wire format, without a body above maxCopiedBody. left is
// the time left for the response.
func (x *roundTrip) encode(left time.Duration) []byte {
	r := x.request
	h := r.Header.Clone()
	x.client.protocol.SetHeaders(h, x.to.Upstream, left)
	var b bytes.Buffer
	size := r.BodySize()
	copied := 0
	if size <= maxCopiedBody {
		copied = size
	}
	b.Grow(headerReserve + copied)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if size > 0 || bodyExpected(r.Method) {
		b.WriteString("Content-Length: " + strconv.Itoa(size) + "\r\n")
	}
	_ = h.Write(&b) // a bytes.Buffer returns no error
	b.WriteString("\r\n")
	if copied > 0 {
		for _, segment := range r.Body {
			b.Write(segment)
		}
	}
	return b.Bytes()
}

// bodyExpected reports whether a request with the given method has a Content-Length even
// when its body is empty (RFC 9110 section 8.6).
func bodyExpected(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// readOwnResponse reads responses until one belongs to the request. An extra response to
// an earlier request may precede it.
func (x *roundTrip) readOwnResponse(ctx context.Context) (*Response, error) {
	for range maxWrongResponses {
		resp, err := x.readResponse()
		if err != nil {
			return nil, x.fail(ctx, err, true)
		}
		info := x.client.protocol.ParseResponse(x.request.ID, resp.StatusCode, resp.Header)
		if !info.WrongRequest {
			x.client.terminations.noteResponse(x.to.Run)
			if mayHaveBody(x.request.Method, resp.StatusCode) && resp.ContentLength > x.client.limits.BodyBytes {
				return nil, x.fail(ctx, x.bodyLimitError(), true)
			}
			return &Response{Status: resp.StatusCode, Header: resp.Header, Info: info, Length: resp.ContentLength, Body: x.newBody(resp)}, nil
		}
		if err := x.skipBody(resp); err != nil {
			return nil, x.fail(ctx, err, true)
		}
	}
	return nil, x.fail(ctx, eris.New("too many responses to other requests"), true)
}

// readResponse reads one response's header. Interim responses (1xx) are
// skipped.
func (x *roundTrip) readResponse() (*http.Response, error) {
	for range maxInterimResponses + 1 {
		resp, err := x.readHead()
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, &LimitError{Source: x.source(), Limited: "interim responses", Limit: maxInterimResponses}
}

// fail resets the connection, which cancels the request at the upstream, and returns the
// error of a request without a response. sent reports whether any byte may have reached
// the upstream.
func (x *roundTrip) fail(ctx context.Context, err error, sent bool) error {
	x.stop()
	if sent {
		x.progress.unacknowledged.Store(int64(x.conn.unacknowledged()))
	}
	_ = x.conn.Close() // err is the cause
	x.silence.requestFailed(err)
	if sent && ctx.Err() == nil && IsConnectionClosed(err) {
		x.progress.connectionClosed.Store(true)
	}
	return responseError(ctx, x.to.Upstream, err, sent)
}
