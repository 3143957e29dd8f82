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
	"time"

	"cairndock/platform/platformtest"
)

const (
	// connectTimeout is how long a client waits for a new connection; from the
	// platform.
	connectTimeout = time.Second
	// exchangeTimeout bounds a whole exchange. Chosen, not measured: well above
	// what clients say they wait.
	exchangeTimeout = 5 * time.Second
)

// message is a request as a client sends it.
type message struct {
	id   string
	key  string
	body string
}

// text is the message on the wire.
func (m message) text() string {
	method, path := http.MethodGet, "/safe/x"
	if strings.HasPrefix(m.id, oncePrefix) {
		method, path = http.MethodPost, "/once/x"
	}
	h := http.Header{}
	platformtest.Request{ID: m.id, Key: m.key, Timeout: clientTimeout}.SetHeaders(h)
	if m.body != "" {
		h.Set("Content-Length", strconv.Itoa(len(m.body)))
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, hostname)
	_ = h.Write(&b) // a bytes.Buffer returns no error
	return b.String() + "\r\n" + m.body
}

// clientConn is a client's connection to a host, with one request at a time. It
// is no http.Transport's: that one sends a request again by itself when a kept
// connection is closed, so that nobody would see that it was.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	// requests is how many were sent, and lastEnd when the last one ended.
	requests int
	lastEnd  time.Time
	// lost is the error with which the connection ended, as the socket gave it:
	// a parser of half a header gives another.
	lost error
}

// Read reads what the host sends.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.note(err)
	return n, err
}

// Write sends to the host.
func (c *clientConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.note(err)
	return n, err
}

func (c *clientConn) note(err error) {
	if err != nil {
		c.lost = err
	}
}

// newClientConn makes a client's connection of one that is open.
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

// result is how an exchange ended.
type result struct {
	began, ended time.Time
	// sent is set when the whole request was sent.
	sent bool
	// status and text are the response's if err is nil.
	status int
	text   string
	err    error
	// closed is set when the host ended the connection before the response was
	// whole.
	closed bool
	// reusable is set when the connection may be used again.
	reusable bool
}

// exchange sends a request and reads its response.
func (c *clientConn) exchange(m message) result {
	r := result{began: time.Now()}
	c.requests++
	r.err = c.SetDeadline(r.began.Add(exchangeTimeout))
	if r.err == nil {
		_, r.err = io.WriteString(c, m.text())
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
	r.status, r.text, r.err = resp.StatusCode, string(text), err
	r.reusable = err == nil && !resp.Close
}

// closedByHost reports whether the host ended the connection.
func (c *clientConn) closedByHost() bool {
	for _, end := range []error{io.EOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(c.lost, end) {
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
