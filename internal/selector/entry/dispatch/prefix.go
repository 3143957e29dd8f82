package dispatch

import (
	"bytes"
	"io"

	"cairndock/internal/selector/call"
	"cairndock/internal/verdict"
)

// maxPrefix is the size, in bytes, up to which a response is read whole before
// any of it goes to the client: one that breaks off is then a verdict, and may
// be asked for again (docs/design/request.md). Chosen, not measured.
const maxPrefix = 32 << 10

// prefixSize leaves one byte more than a small response has, to see its end.
func prefixSize(length int64) int {
	if length >= 0 && length < maxPrefix {
		return int(length) + 1
	}
	return maxPrefix + 1
}

// bufferedBody gives the buffered prefix and then the rest.
type bufferedBody struct {
	io.Reader
	io.Closer
}

// bufferPrefix reads the beginning of a response ahead. The gateway does the
// same to its responses in proxy; those are HTTP bodies without a verdict.
func bufferPrefix(a *call.Response, err error) (*call.Response, error) {
	if err != nil {
		return nil, err
	}
	small := a.Length >= 0 && a.Length <= maxPrefix
	buf := make([]byte, prefixSize(a.Length))
	n, readErr := 0, error(nil)
	for readErr == nil && n < len(buf) {
		var m int
		m, readErr = a.Body.Read(buf[n:])
		n += m
		if !small && n > 0 {
			break
		}
	}
	if readErr != nil && readErr != io.EOF {
		_ = a.Body.Close() // the read error is the verdict
		return nil, verdict.New(verdict.MayHaveRun, verdict.AnswerTruncated, "the answer broke off: %v", readErr).WithUpstream(a.Upstream)
	}
	out := *a
	ahead := io.Reader(bytes.NewReader(buf[:n]))
	if readErr == nil {
		ahead = io.MultiReader(ahead, a.Body)
	}
	out.Body = bufferedBody{ahead, a.Body}
	return &out, nil
}
