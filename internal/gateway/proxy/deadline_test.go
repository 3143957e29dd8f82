package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEffectiveTimeout(t *testing.T) {
	for _, c := range []struct {
		rule                string
		client, route, want time.Duration
	}{
		{"the client's timeout", 3 * time.Second, 0, 3 * time.Second},
		{"a shorter timeout of the route", 3 * time.Second, time.Second, time.Second},
		{"a longer timeout of the route does not apply", time.Second, 3 * time.Second, time.Second},
		{"a client's timeout may exceed the default", time.Minute, 0, time.Minute},
		{"the default when neither is set", 0, 0, 30 * time.Second},
		{"the route's when the client sets none", 0, time.Second, time.Second},
		{"at most the default when the client sets none", 0, time.Minute, 30 * time.Second},
	} {
		t.Run(c.rule, func(t *testing.T) {
			require.Equal(t, c.want, effectiveTimeout(c.client, c.route))
		})
	}
}
