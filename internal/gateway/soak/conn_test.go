package soak

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/platform/platformtest"
)

const (
	// connectTimeout is the client's timeout for a new connection. The value comes from
	// the platform.
	connectTimeout = time.Second
	// exchangeTimeout limits a whole exchange. It is well above clientTimeout.
	exchangeTimeout = 5 * time.Second
	// piecePause is the pause before each further write of a request. It is short enough
	// for requests to arrive well before any timeout.
	piecePause = 3 * time.Millisecond
)

// message is a request as a client sends it.
type message struct {
	id  string
	key string
	// pieces is the body, written piece by piece with pauses in between. If chunked is
	// set, each piece is a chunk; otherwise the body has a Content-Length.
	pieces  []string
	chunked bool
}

// writes returns the bytes of each write of the message. If the body is not chunked, the
// first piece is written together with the header.
func (m message) writes() []string {
	writes := []string{m.head()}
	for i, p := range m.pieces {
		switch {
		case m.chunked:
			writes = append(writes, fmt.Sprintf("%x\r\n%s\r\n", len(p), p))
		case i == 0:
			writes[0] += p
		default:
			writes = append(writes, p)
		}
	}
	if m.chunked {
		writes[len(writes)-1] += "0\r\n\r\n"
	}
	return writes
}

// head returns the request line and the header.
func (m message) head() string {
	method, path := http.MethodGet, "/safe/x"
	if strings.HasPrefix(m.id, oncePrefix) {
		method, path = http.MethodPost, "/once/x"
	}
	h := http.Header{}
	platformtest.Request{ID: m.id, Key: m.key, Credential: unlimitedKey, Timeout: clientTimeout}.SetHeaders(h)
	switch {
	case m.chunked:
		h.Set("Transfer-Encoding", "chunked")
	case len(m.pieces) > 0:
		h.Set("Content-Length", strconv.Itoa(len(strings.Join(m.pieces, ""))))
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, hostname)
	_ = h.Write(&b) // a bytes.Buffer returns no error
	return b.String() + "\r\n"
}

// clientConn is a client's connection to a host. It carries one request at a time. It
// does not use http.Transport, which retries a request by itself when a kept connection
// is closed and would hide this close.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	// requests is the number of requests sent, and lastEnd the time at which the last
	// one ended.
	requests int
	lastEnd  time.Time
	// closeErr is the socket's error at the end of the connection. The response parser
	// replaces it by another error when a header is incomplete.
	closeErr error
}

// Read reads from the host and records an error.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.recordError(err)
	return n, err
}

// Write writes to the host and records an error.
func (c *clientConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.recordError(err)
	return n, err
}

func (c *clientConn) recordError(err error) {
	if err != nil {
		c.closeErr = err
	}
}

// newClientConn wraps an open connection.
func newClientConn(nc net.Conn) *clientConn {
	c := &clientConn{Conn: nc, lastEnd: time.Now()}
	c.reader = bufio.NewReader(c)
	return c
}

func dialHost(address string) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", address, connectTimeout)
	if err != nil {
		return nil, err
	}
	return newClientConn(c), nil
}

// result is the outcome of an exchange.
type result struct {
	began, ended time.Time
	// sent is set when the whole request was sent.
	sent bool
	// status, header and text are those of the response if err is nil.
	status int
	header http.Header
	text   string
	err    error
	// closed is set when the host closed the connection before the response was
	// complete.
	closed bool
	// reusable is set when the connection can be used again.
	reusable bool
}

// exchange sends a request and reads its response.
func (c *clientConn) exchange(m message) result {
	r := result{began: time.Now()}
	c.requests++
	r.err = c.SetDeadline(r.began.Add(exchangeTimeout))
	for i, text := range m.writes() {
		if r.err != nil {
			break
		}
		if i > 0 {
			time.Sleep(piecePause)
		}
		_, r.err = io.WriteString(c, text)
	}
	if r.err == nil {
		r.sent = true
		c.readResponse(&r)
	}
	r.closed = r.err != nil && c.closedByHost()
	r.ended = time.Now()
	c.lastEnd = r.ended
	return r
}

func (c *clientConn) readResponse(r *result) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		r.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	r.status, r.header, r.text, r.err = resp.StatusCode, resp.Header, string(text), err
	r.reusable = err == nil && !resp.Close
}

// closedByHost reports whether the host closed the connection.
func (c *clientConn) closedByHost() bool {
	for _, end := range []error{io.EOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(c.closeErr, end) {
			return true
		}
	}
	return false
}

func (r result) outcome() outcome {
	switch {
	case r.err == nil && r.status == http.StatusOK:
		return served
	case r.err == nil && r.status == http.StatusServiceUnavailable:
		return refused
	case r.closed:
		return closed
	default:
		return failed
	}
}

func TestAMessageIsWholeOnTheWire(t *testing.T) {
	for name, m := range map[string]message{
		"no body":     {id: "safe-1", key: "7"},
		"one piece":   {id: oncePrefix + "1", pieces: []string{"all"}},
		"pieces":      {id: oncePrefix + "2", pieces: []string{"one", "two", "three"}},
		"one chunk":   {id: oncePrefix + "3", pieces: []string{"all"}, chunked: true},
		"some chunks": {id: oncePrefix + "4", pieces: []string{"one", strings.Repeat("x", 300)}, chunked: true},
	} {
		t.Run(name, func(t *testing.T) {
			wire := bufio.NewReader(strings.NewReader(strings.Join(m.writes(), "")))
			r, err := http.ReadRequest(wire)
			require.NoError(t, err)
			text, err := io.ReadAll(r.Body)
			require.NoError(t, err)
			require.Equal(t, strings.Join(m.pieces, ""), string(text))
			require.Equal(t, m.chunked, len(r.TransferEncoding) > 0)
			require.Zero(t, wire.Buffered())
		})
	}
}
