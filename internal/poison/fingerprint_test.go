package poison

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFingerprintComparesAllParts(t *testing.T) {
	content := Content{Caller: "c", Method: "GET", Host: "h", Target: "/t", Body: []byte("b")}
	for name, other := range map[string]Content{
		"caller":         {Caller: "d", Method: "GET", Host: "h", Target: "/t", Body: []byte("b")},
		"method":         {Caller: "c", Method: "PUT", Host: "h", Target: "/t", Body: []byte("b")},
		"host":           {Caller: "c", Method: "GET", Host: "i", Target: "/t", Body: []byte("b")},
		"target":         {Caller: "c", Method: "GET", Host: "h", Target: "/u", Body: []byte("b")},
		"body":           {Caller: "c", Method: "GET", Host: "h", Target: "/t", Body: []byte("c")},
		"no body":        {Caller: "c", Method: "GET", Host: "h", Target: "/t"},
		"shifted border": {Caller: "c", Method: "GET", Host: "h/", Target: "t", Body: []byte("b")},
	} {
		t.Run(name, func(t *testing.T) {
			require.NotEqual(t, content.Fingerprint(), other.Fingerprint())
		})
	}
	require.Equal(t, content.Fingerprint(), Content{Caller: "c", Method: "GET", Host: "h", Target: "/t", Body: []byte("b")}.Fingerprint())
	require.Len(t, content.Fingerprint().String(), 32)
}
