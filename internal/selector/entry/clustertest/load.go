package clustertest

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"cairndock/internal/selector/call"
	"cairndock/internal/selector/entry"
	"cairndock/internal/verdict"
)

// Counts holds the outcomes of a load. Good counts complete responses, and Slow
// those of them that took longer than slowThreshold. Wrong counts responses to
// other requests, Refused the requests that provably did not run, and Doubt those
// that may have run.
type Counts struct {
	Good, Slow, Wrong, Refused, Doubt int
	// Slowest is the longest time until an outcome.
	Slowest time.Duration
	// Reasons counts the failed requests by reason.
	Reasons map[verdict.Reason]int

	mu sync.Mutex
}

// slowThreshold is three times a warm upstream's latency.
const slowThreshold = 3 * Latency

// Load sends lookups to the live hosts in turn, at a fixed rate that does not depend
// on their outcomes, and returns the counts when all have ended.
func (c *Cluster) Load(perSecond int, d time.Duration) *Counts {
	out := &Counts{Reasons: map[verdict.Reason]int{}}
	var wait sync.WaitGroup
	interval := time.Second / time.Duration(perSecond)
	for i := range int(d / interval) {
		hosts := c.Live()
		h := hosts[i%len(hosts)]
		wait.Go(func() { out.One(h, fmt.Sprintf("/tracks/%d", i)) })
		time.Sleep(interval)
	}
	wait.Wait()
	return out
}

// One sends a lookup to a host and counts its outcome.
func (o *Counts) One(h *entry.Host, path string) {
	start := time.Now()
	body, err := Ask(h, Lookup(path))
	took := time.Since(start)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.Slowest = max(o.Slowest, took)
	switch e := verdict.From(err); {
	case e != nil:
		o.Reasons[e.Reason]++
		if e.Verdict == verdict.NotRun {
			o.Refused++
		} else {
			o.Doubt++
		}
	case !strings.Contains(body, `"path":"`+path+`"`):
		o.Wrong++
	default:
		o.Good++
		if took > slowThreshold {
			o.Slow++
		}
	}
}

// Lookup returns a request that may be repeated.
func Lookup(path string) *call.Request {
	return &call.Request{Service: "planning", Method: http.MethodGet, Target: path, Deadline: time.Now().Add(Timeout)}
}

// Ask sends a request to a host and returns the complete body of the response.
func Ask(h *entry.Host, req *call.Request) (string, error) {
	ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
	defer cancel()
	resp, err := h.Do(ctx, req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}
