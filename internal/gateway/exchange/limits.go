package exchange

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

const (
	// DefaultMaxHeadBytes is the default of ResponseLimits.HeadBytes. It is far above the heads
	// of real responses. MinHeadBytes is its minimum: the size of the read buffer, up to which
	// bytes may have been read before the head begins.
	DefaultMaxHeadBytes = 64 << 10
	MinHeadBytes        = readBuffer
	// DefaultMaxBodyBytes is the default of ResponseLimits.BodyBytes. A link of 200 Mbit/s takes
	// 2.7 s for it, which is longer than most requests may take.
	DefaultMaxBodyBytes = 64 << 20
	// maxHeadFields is the maximum number of fields of a response head. In memory the shortest
	// fields take 15 times their size.
	maxHeadFields = 1000
	// maxInterimResponses is the maximum number of interim responses (1xx) before a response.
	maxInterimResponses = 8
	// maxSkippedBytes is the maximum size of the body of a response to another request that is
	// skipped.
	maxSkippedBytes = 1 << 20
	// statusLinePrefix is the beginning of each response.
	statusLinePrefix = "HTTP/1."
)

// errNotHTTP is the error of a response whose first bytes are not those of a status line.
var errNotHTTP = eris.New("the response is not HTTP/1")

// ResponseLimits are the maximum sizes of an upstream's responses.
type ResponseLimits struct {
	// HeadBytes limits the status line and the header. It also applies to each interim response.
	HeadBytes int
	// BodyBytes limits the body, and the length that a head may declare.
	BodyBytes int64
}

// LimitError reports that a response exceeded a limit.
type LimitError struct {
	// Source is the upstream or the host that sent the response.
	Source string
	// Limited is what the limit applies to, with its unit, and Limit its value.
	Limited string
	Limit   int64
	// Setting is the key of the setting; empty if the limit is constant.
	Setting string
}

// Error implements the error interface.
func (e *LimitError) Error() string {
	text := fmt.Sprintf("%s exceeds the limit of %d %s", e.Source, e.Limit, e.Limited)
	if e.Setting != "" {
		text += " (" + e.Setting + ")"
	}
	return text
}

func (x *roundTrip) headLimitError() *LimitError {
	return &LimitError{Source: x.source(), Limited: "bytes of a response head", Limit: int64(x.client.limits.HeadBytes), Setting: "limits.max_response_head_bytes"}
}

func (x *roundTrip) bodyLimitError() error {
	return newBodyLimitError(x.source(), x.client.limits.BodyBytes)
}

func newBodyLimitError(source string, limit int64) *LimitError {
	return &LimitError{Source: source, Limited: "bytes of a response body", Limit: limit, Setting: "limits.max_response_body_bytes"}
}

func (x *roundTrip) source() string { return "upstream " + x.to.Upstream }

// errHeadLimit is the error of a connection's reads beyond the limit on a head.
var errHeadLimit = eris.New("the response head exceeds its limit")

// headLimit limits the bytes that are read from a connection while a response head is parsed.
type headLimit struct {
	// parsing is set while a head is parsed, and left is the number of bytes that may still be read.
	parsing bool
	left    int
}

// readHead parses one response head. The connection returns no more bytes than the head may
// have, so that the parser cannot read or keep more.
func (x *roundTrip) readHead() (*http.Response, error) {
	reader := x.conn.reader
	if err := checkStatusLine(reader); err != nil {
		return nil, err
	}
	x.conn.head = headLimit{parsing: true, left: x.client.limits.HeadBytes - reader.Buffered()}
	resp, err := http.ReadResponse(reader, &http.Request{Method: x.request.Method})
	x.conn.head = headLimit{}
	switch {
	case errors.Is(err, errHeadLimit):
		return nil, x.headLimitError()
	case err == nil && countFields(resp.Header) > maxHeadFields:
		return nil, &LimitError{Source: x.source(), Limited: "fields of a response head", Limit: maxHeadFields}
	}
	return resp, err
}

func countFields(h http.Header) int {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	return n
}

// checkStatusLine checks the first bytes of a response as they arrive. The parser would wait for
// the end of a line.
func checkStatusLine(reader *bufio.Reader) error {
	for n := 1; n <= len(statusLinePrefix); n++ {
		start, err := reader.Peek(n)
		if string(start) != statusLinePrefix[:len(start)] {
			return errNotHTTP
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// skipBody reads the body of a response to another request.
func (x *roundTrip) skipBody(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes+1))
	if n > maxSkippedBytes {
		return &LimitError{Source: x.source(), Limited: "bytes of a response to another request", Limit: maxSkippedBytes}
	}
	if err != nil || resp.Close {
		return eris.New("connection ended after a response to another request")
	}
	return nil
}
