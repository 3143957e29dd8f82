package indirect

import (
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
