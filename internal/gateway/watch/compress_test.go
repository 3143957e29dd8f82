package watch

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestALargeValueIsRelayedSmallAndReadWhole(t *testing.T) {
	large := bytes.Repeat([]byte(`{"path_prefix":"/bookings/"},`), 20_000)
	r := NewReplica()
	r.replace(Page{Version: at(1), Rows: []Row{{Key: "a", Value: large, Version: 1}, {Key: "b", Value: []byte("small"), Version: 1}}}, time.Now())
	page, err := r.List(t.Context())
	require.NoError(t, err)
	for _, row := range page.Rows {
		value, err := row.Bytes()
		require.NoError(t, err)
		if row.Key == "b" {
			require.Equal(t, "small", string(value))
			continue
		}
		require.Equal(t, large, value)
		require.Less(t, len(row.Value), len(large)/10)
	}
	_, err = Row{Value: []byte("rubbish"), Compressed: true}.Bytes()
	require.Error(t, err)
}

// A value that expands beyond the limit was truncated without an error.
func TestAValueThatExpandsBeyondTheLimitIsAnError(t *testing.T) {
	for size, ok := range map[int]bool{maxValueSize: true, maxValueSize + 1: false} {
		value, err := Row{Value: bytes.Repeat([]byte(" "), size)}.compressed().Bytes()
		if !ok {
			require.ErrorContains(t, err, "16777216")
			continue
		}
		require.NoError(t, err)
		require.Len(t, value, size)
	}
}
