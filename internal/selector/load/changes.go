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
	// maxChangeRate is the highest rate of changes, per second: hundreds of
	// times the planned 0.22 a second.
	maxChangeRate = 100
	// everywhereWait is how long a change may take to be in force everywhere:
	// the default of the operator API.
	everywhereWait = "6s"
)

// Changes are configuration changes sent beside a load, one after another.
type Changes struct {
	// Operator is the address for operators of a host, and Token its token.
	Operator string
	Token    string
	// Rate is the changes per second.
	Rate float64
	// Everywhere waits until each change is in force in every zone.
	Everywhere bool
	// Service and Rule name the rule that is changed; it must exist.
	Service string
	Rule    string
}

// ChangeResult is the outcome of the changes.
type ChangeResult struct {
	Accepted int `json:"accepted"`
	Failed   int `json:"failed"`
	// P50 and P99 are the times, in microseconds, from sending a change until
	// it is in force in every zone that can be reached, or without
	// Changes.Everywhere until it is in the log.
	P50 int64 `json:"p50_us"`
	P99 int64 `json:"p99_us"`
}

// RunChanges sends changes until ctx ends. A change that fails is counted and not
// sent again.
func RunChanges(ctx context.Context, c Changes) (ChangeResult, error) {
	if err := checkLoopback(c.Operator); err != nil {
		return ChangeResult{}, err
	}
	if c.Rate <= 0 || c.Rate > maxChangeRate {
		return ChangeResult{}, eris.Errorf("changes must be above 0 and at most %d a second", maxChangeRate)
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
		began := time.Now()
		if err := c.send(ctx, i); err != nil {
			if ctx.Err() == nil {
				out.Failed++
			}
			continue
		}
		out.Accepted++
		// A time above longestLatency is counted but not recorded.
		_ = latencies.RecordValue(time.Since(began).Microseconds())
	}
}

// send changes the rule's ramp, which moves no traffic.
func (c Changes) send(ctx context.Context, i int) error {
	var status struct {
		Revision uint64 `json:"revision"`
	}
	if err := c.request(ctx, http.MethodGet, "/v1/status", "", nil, &status); err != nil {
		return err
	}
	wait := "0s"
	if c.Everywhere {
		wait = everywhereWait
	}
	doc := fmt.Sprintf("[[rule]]\nname = %q\nservice = %q\nselector = \"tier=main\"\nshare = 1.0\nramp = %d.0\n", c.Rule, c.Service, 1+i%2)
	base := http.Header{"If-Match": {fmt.Sprint(status.Revision)}}
	return c.request(ctx, http.MethodPut, "/v1/config?wait="+wait, doc, base, nil)
}

// request sends a request to the host with the token and more headers.
func (c Changes) request(ctx context.Context, method, path, body string, header http.Header, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Operator+path, strings.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "make request")
	}
	maps.Copy(req.Header, header)
	req.Header.Set("Authorization", "Bearer "+c.Token)
	return roundTrip(http.DefaultClient, req, out)
}
