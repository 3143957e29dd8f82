package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestHoldTime(t *testing.T) {
	for _, c := range []struct {
		rule                string
		client, route, want time.Duration
	}{
		{"as long as the client waits", 3 * time.Second, 0, 3 * time.Second},
		{"no longer than the route allows", 3 * time.Second, time.Second, time.Second},
		{"a route's timeout does not prolong it", time.Second, 3 * time.Second, time.Second},
		{"a client may wait longer than the default", time.Minute, 0, time.Minute},
		{"the default when neither is given", 0, 0, 30 * time.Second},
		{"the route's when the client gives none", 0, time.Second, time.Second},
		{"no longer than the default when the client gives none", 0, time.Minute, 30 * time.Second},
	} {
		t.Run(c.rule, func(t *testing.T) {
			require.Equal(t, c.want, effectiveTimeout(c.client, c.route))
		})
	}
}
