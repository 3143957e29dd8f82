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

// Counts are what a load got: Good are whole answers and Slow those of them that
// took longer than slowAfter, Wrong the answers to other requests, Refused the
// requests proved not to have run, and Doubt those that may have run.
type Counts struct {
	Good, Slow, Wrong, Refused, Doubt int
	// Slowest is the longest time to an outcome.
	Slowest time.Duration
	// Reasons counts what was not answered.
	Reasons map[verdict.Reason]int

	mu sync.Mutex
}

// slowAfter is three times a warm upstream's latency.
const slowAfter = 3 * Latency

// Load sends lookups to the live hosts in turn, whatever becomes of them.
func (c *Cluster) Load(perSecond int, d time.Duration) *Counts {
	out := &Counts{Reasons: map[verdict.Reason]int{}}
	var wait sync.WaitGroup
	pause := time.Second / time.Duration(perSecond)
	for i := range int(d / pause) {
		hosts := c.Live()
		h := hosts[i%len(hosts)]
		wait.Go(func() { out.One(h, fmt.Sprintf("/tracks/%d", i)) })
		time.Sleep(pause)
	}
	wait.Wait()
	return out
}

// One sends a lookup to a host and counts its outcome.
func (o *Counts) One(h *entry.Host, path string) {
	began := time.Now()
	body, err := Ask(h, Lookup(path))
	took := time.Since(began)
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
		if took > slowAfter {
			o.Slow++
		}
	}
}

// Lookup is a request that may be repeated.
func Lookup(path string) *call.Request {
	return &call.Request{Service: "planning", Method: http.MethodGet, Target: path, Deadline: time.Now().Add(Timeout)}
}

// Ask sends a request to a host and gives the whole answer.
func Ask(h *entry.Host, req *call.Request) (string, error) {
	ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
	defer cancel()
	a, err := h.Do(ctx, req)
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	return string(body), err
}
