package load

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxChangeRate is the highest rate of changes, per second. It is hundreds of
	// times the planned rate of 0.22 per second.
	maxChangeRate = 100
	// inForceWait is how long a request waits for its change to be in force
	// everywhere. It equals the default of the operator API.
	inForceWait = "6s"
)

// Changes describes configuration changes that are sent during a load, one at a
// time.
type Changes struct {
	// Operator is the operator address of a host, and Token its token.
	Operator string
	Token    string
	// Rate is the number of changes per second.
	Rate float64
	// Everywhere makes each change wait until it is in force in every zone.
	Everywhere bool
	// Service and Rule name the rule to change, which must exist.
	Service string
	Rule    string
}

// ChangeResult is the outcome of Changes.
type ChangeResult struct {
	Accepted int `json:"accepted"`
	Failed   int `json:"failed"`
	// P50 and P99 are percentiles, in microseconds, of the time from sending a
	// change until it is in force in every reachable zone, or until it is in
	// the log if Changes.Everywhere is false.
	P50 int64 `json:"p50_us"`
	P99 int64 `json:"p99_us"`
}

// RunChanges sends changes until ctx is done. A change that fails is counted and
// not sent again. RunChanges fails if the rate is out of range or the operator
// address is not a loopback address.
func RunChanges(ctx context.Context, c Changes) (ChangeResult, error) {
	if err := checkLoopback(c.Operator); err != nil {
		return ChangeResult{}, err
	}
	if c.Rate <= 0 || c.Rate > maxChangeRate {
		return ChangeResult{}, eris.Errorf("rate of changes must be above 0 and at most %d per second", maxChangeRate)
	}
	var out ChangeResult
	latencies := newLatencies()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / c.Rate))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			out.P50, out.P99 = latencies.ValueAtPercentile(50), latencies.ValueAtPercentile(99)
			return out, nil
		case <-ticker.C:
		}
		start := time.Now()
		if err := c.send(ctx, i); err != nil {
			if ctx.Err() == nil {
				out.Failed++
			}
			continue
		}
		out.Accepted++
		// A latency above maxLatencyMicros is not recorded in the histogram.
		_ = latencies.RecordValue(time.Since(start).Microseconds())
	}
}

// send sends change i, which alters the rule's ramp. This does not move traffic.
func (c Changes) send(ctx context.Context, i int) error {
	var status struct {
		Revision uint64 `json:"revision"`
	}
	if err := c.request(ctx, http.MethodGet, "/v1/status", "", nil, &status); err != nil {
		return err
	}
	wait := "0s"
	if c.Everywhere {
		wait = inForceWait
	}
	doc := fmt.Sprintf("[[rule]]\nname = %q\nservice = %q\nselector = \"tier=main\"\nshare = 1.0\nramp = %d.0\n", c.Rule, c.Service, 1+i%2)
	base := http.Header{"If-Match": {fmt.Sprint(status.Revision)}}
	return c.request(ctx, http.MethodPut, "/v1/config?wait="+wait, doc, base, nil)
}

// request sends a request with the token and the given headers to the host.
func (c Changes) request(ctx context.Context, method, path, body string, header http.Header, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Operator+path, strings.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "make request")
	}
	maps.Copy(req.Header, header)
	req.Header.Set("Authorization", "Bearer "+c.Token)
	return roundTrip(http.DefaultClient, req, out)
}
