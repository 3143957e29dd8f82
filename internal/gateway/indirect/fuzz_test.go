package indirect

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"cairndock/internal/peer"
	"cairndock/internal/verdict"
)

// addMessages adds encoded messages to a corpus, whole and cut in half.
func addMessages(f *testing.F, messages ...any) {
	f.Add([]byte{})
	for _, m := range messages {
		payload, err := peer.Encode(m)
		require.NoError(f, err)
		f.Add(payload)
		f.Add(payload[:len(payload)/2])
	}
}

// FuzzRequest checks that a message that is accepted is one request on the wire.
func FuzzRequest(f *testing.F) {
	valid := Request{Method: "GET", Host: "a.example", Target: "/x/", Header: http.Header{}, LeftMillis: 1000}
	smuggled, injected, negative := valid, valid, valid
	smuggled.Target = "/x/ HTTP/1.1\r\nHost: b\r\n\r\nGET /y/"
	injected.Host = "a.example\r\nX: y"
	negative.Attempts = -1
	addMessages(f, valid, smuggled, injected, negative, Request{}, map[string]any{"l": int64(1) << 62}, nil)
	f.Fuzz(func(t *testing.T, payload []byte) {
		r, err := DecodeRequest(payload)
		if err != nil {
			return
		}
		require.NotNil(t, r.Header)
		require.GreaterOrEqual(t, r.Attempts, 0)
		wire := bufio.NewReader(bytes.NewBufferString(fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n\r\n", r.Method, r.Target, r.Host)))
		parsed, err := http.ReadRequest(wire)
		if err != nil {
			return // the upstream rejects it as a whole
		}
		require.Equal(t, r.Method, parsed.Method)
		require.Equal(t, r.Target, parsed.RequestURI)
		rest, err := io.ReadAll(wire)
		require.NoError(t, err)
		require.Empty(t, rest)
	})
}

// FuzzReply checks that any reply is an error or a response that can be forwarded.
func FuzzReply(f *testing.F) {
	addMessages(f, Reply{Status: 200, Length: -1}, Reply{Status: 99}, Reply{Status: 1000}, Reply{Status: 200, Length: -2},
		NewErrorReply(verdict.New(verdict.NotRun, verdict.Full, "full"), true), Reply{}, nil)
	f.Fuzz(func(_ *testing.T, payload []byte) {
		r, err := peer.Decode[Reply](payload)
		if err == nil && r.err() == nil && r.isResponse() {
			httptest.NewRecorder().WriteHeader(r.Status)
		}
	})
}
