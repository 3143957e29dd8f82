package reqtrace_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/reqtrace"
)

// Each log in testdata is of one request with an id like its name.
func TestTrailsOfFailures(t *testing.T) {
	logs, err := filepath.Glob("testdata/*.log")
	require.NoError(t, err)
	require.NotEmpty(t, logs)
	g := goldie.New(t)
	for _, path := range logs {
		name := strings.TrimSuffix(filepath.Base(path), ".log")
		t.Run(name, func(t *testing.T) {
			f, err := os.Open(path)
			require.NoError(t, err)
			defer func() { _ = f.Close() }()
			tr, err := reqtrace.Follow(f, name)
			require.NoError(t, err)
			g.Assert(t, name, []byte(tr.String()))
		})
	}
}

func TestARequestThatNoLogKnows(t *testing.T) {
	_, err := reqtrace.Follow(strings.NewReader("not json\n{\"request\":\"other\"}\n"), "r")
	require.ErrorContains(t, err, "no line of request")
}

func TestAMissingFinalLineIsSaid(t *testing.T) {
	tr, err := reqtrace.Follow(strings.NewReader(`{"event":"attempt","request":"r","attempt":1}`), "r")
	require.NoError(t, err)
	require.Contains(t, tr.Cause(), "missing")
}
