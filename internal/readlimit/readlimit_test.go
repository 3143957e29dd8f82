package readlimit_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"cairndock/internal/readlimit"
)

// A source that is cut at its limit must not look complete.
func TestASourceAboveItsLimitIsAnError(t *testing.T) {
	for size, ok := range map[int]bool{0: true, 9: true, 10: true, 11: false, 5000: false} {
		source := strings.NewReader(strings.Repeat("x", size))
		for _, r := range []io.Reader{source, iotest.OneByteReader(source)} {
			_, err := source.Seek(0, io.SeekStart)
			require.NoError(t, err)
			out, err := io.ReadAll(readlimit.New(r, 10, "the list"))
			require.Len(t, out, min(size, 10))
			if ok {
				require.NoError(t, err)
				continue
			}
			require.EqualError(t, err, "the list exceeds the limit of 10 bytes")
			require.LessOrEqual(t, size-source.Len(), 11)
		}
	}
}
