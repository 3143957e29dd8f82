package config

import (
	"testing"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/store"
	"cairndock/internal/tomlfile"
)

// TestAppendRetryRule checks which failed appends are retried: an invalid change
// is not, a change of which certainly nothing was written is, and any other
// error is returned to the submitter.
func TestAppendRetryRule(t *testing.T) {
	cases := []struct {
		name         string
		err          error
		refusal      bool
		wroteNothing bool
	}{
		{"object was changed", &Conflict{Winner: 3}, true, false},
		{"references do not hold", tomlfile.KeyError{Key: "k", Problem: "p"}, true, false},
		{"head moved", store.ErrConflict, false, true},
		{"throttled", eris.Wrap(store.ErrThrottled, "call table"), false, true},
		{"response lost", eris.New("connection reset"), false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			require.Equal(t, tc.refusal, isRefusal(tc.err))
			require.Equal(t, tc.wroteNothing, wroteNothing(tc.err))
		})
	}
}
