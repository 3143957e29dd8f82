package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
)

// Changes are configuration changes sent beside a load, one after another.
type Changes struct {
	// Operator is the operator address of a host, and Token its token.
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

// ChangeResult is what the changes got.
type ChangeResult struct {
	Accepted int `json:"accepted"`
	Failed   int `json:"failed"`
	// P50 and P99 are from sending to being in force in every zone, or only
	// to acceptance in the log where zones can't be asked, in microseconds.
	P50 int64 `json:"p50_us"`
	P99 int64 `json:"p99_us"`
}

// RunChanges sends changes until ctx ends.
func RunChanges(ctx context.Context, c Changes) (ChangeResult, error) {
	if err := loopback(c.Operator); err != nil {
		return ChangeResult{}, err
	}
	if c.Rate <= 0 || c.Rate > 100 {
		return ChangeResult{}, eris.New("changes must be above 0 and at most 100 a second")
	}
	var out ChangeResult
	latencies := hdrhistogram.New(1, highest, digits)
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
		_ = latencies.RecordValue(time.Since(began).Microseconds())
	}
}

func (c Changes) wait() string {
	if c.Everywhere {
		return "6s"
	}
	return "0s"
}

// send changes the rule's ramp, which moves no traffic.
func (c Changes) send(ctx context.Context, i int) error {
	status := struct {
		Revision uint64 `json:"revision"`
	}{}
	if err := c.do(ctx, http.MethodGet, "/v1/status", "", &status); err != nil {
		return err
	}
	doc := fmt.Sprintf("[[rule]]\nname = %q\nservice = %q\nselector = \"tier=main\"\nshare = 1.0\nramp = %d.0\n", c.Rule, c.Service, 1+i%2)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+c.Operator+"/v1/config?wait="+c.wait(), strings.NewReader(doc))
	if err != nil {
		return eris.Wrap(err, "make request")
	}
	req.Header.Set("If-Match", fmt.Sprint(status.Revision))
	return c.roundTrip(req, nil)
}

func (c Changes) do(ctx context.Context, method, path, body string, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Operator+path, strings.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "make request")
	}
	return c.roundTrip(req, out)
}

func (c Changes) roundTrip(req *http.Request, out any) error {
	req.Header.Set("Authorization", "Bearer "+c.Token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "ask host")
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return eris.Errorf("host answered %d", resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	return eris.Wrap(json.NewDecoder(resp.Body).Decode(out), "read answer")
}
