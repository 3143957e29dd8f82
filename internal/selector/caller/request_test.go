package caller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/config"
	"cairndock/internal/verdict"
)

func TestRequestTimeout(t *testing.T) {
	svc := &config.ServiceView{Service: config.Service{
		Timeout: config.Duration(2 * time.Second), MaxTimeout: config.Duration(10 * time.Second),
	}}
	cases := []struct {
		name, header string
		want         time.Duration
		bad          bool
	}{
		{name: "service timeout without a header", want: 2 * time.Second},
		{name: "header value", header: "5s", want: 5 * time.Second},
		{name: "at most max_timeout", header: "1h", want: 10 * time.Second},
		{name: "zero is rejected", header: "0s", bad: true},
		{name: "negative duration is rejected", header: "-1s", bad: true},
		{name: "not a duration is rejected", header: "soon", bad: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got, err := requestTimeout(tc.header, svc)
			if tc.bad {
				require.Equal(t, verdict.BadTimeout, verdict.From(err).Reason)
				require.Equal(t, verdict.NotRun, verdict.From(err).Verdict)
				return
			}
			require.NoError(t, err)
			require.Equal(t, tc.want, got)
		})
	}
}
