package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/call"
	"cairndock/internal/selector/entry/clustertest"
	"cairndock/internal/verdict"
)

const (
	linkLimit   = 1_000_000 // bytes per second
	bundleBytes = 400_000
	linkRules   = `
[[rule]]
name = "far"
service = "planning"
selector = "zone=sierra-a"
share = 1.0
[[service]]
name = "documents"
class = "bulk"
repeat = "safe"
timeout = "60s"
max_timeout = "60s"
[[upstream]]
name = "up-sierra-docs"
service = "documents"
zone = "sierra-a"
addr = "up-sierra-docs:1"
slots = 4
[[rule]]
name = "docs"
service = "documents"
selector = ""
share = 1.0
[[link]]
from = "sierra"
to = "costa"
bytes_per_second = 1000000
`
)

// measurePeriod is the time for which lookups are measured, both alone and together
// with bundles. With 5 and 8 seconds, the p99 was the second-worst of a few hundred
// lookups, so that one new connection determined it and one run in eight failed.
const measurePeriod = 40 * time.Second

// Guards against bulk traffic that delays lookups: on a limited link, the p99 of
// lookups must hardly rise while bundles use the remaining capacity, and the link's
// limit must not be exceeded.
func TestLookupsBesideBundles(t *testing.T) {
	inBubble(t, linkRules, func(c *cluster) {
		docs := c.StartUpstream("up-sierra-docs", "1")
		docs.Latency = 0
		time.Sleep(3 * time.Second)
		alone := c.remoteLookups(measurePeriod)

		ctx, stop := context.WithCancel(context.Background())
		var downloads sync.WaitGroup
		for range 4 {
			downloads.Go(func() { c.download(ctx) })
		}
		time.Sleep(3 * time.Second)
		before := c.sentBy("sierra-a")
		var maxPerSecond int64
		sampled := make(chan struct{})
		go func() {
			defer close(sampled)
			for range int(measurePeriod / time.Second) {
				atStart := c.sentBy("sierra-a")
				time.Sleep(time.Second)
				maxPerSecond = max(maxPerSecond, c.sentBy("sierra-a")-atStart)
			}
		}()
		together := c.remoteLookups(measurePeriod)
		<-sampled
		perSecond := float64(c.sentBy("sierra-a")-before) / measurePeriod.Seconds()
		stop()
		downloads.Wait()

		t.Logf("lookups' p99 alone %s, beside bundles %s; link used %.0f B/s, at most %d in a second, of %d", alone, together, perSecond, maxPerSecond, linkLimit)
		require.LessOrEqual(t, together, alone*6/5)
		require.LessOrEqual(t, maxPerSecond, int64(linkLimit))
		require.GreaterOrEqual(t, perSecond, 0.8*linkLimit)
	})
}

// remoteLookups sends lookups from one host to zone sierra-a and returns the p99 of
// their durations. No lookup may fail.
func (c *cluster) remoteLookups(d time.Duration) time.Duration {
	var mu sync.Mutex
	var took []time.Duration
	var wait sync.WaitGroup
	failed := map[verdict.Reason]int{}
	for i := range int(d / (50 * time.Millisecond)) {
		wait.Go(func() {
			start := time.Now()
			_, err := clustertest.Ask(c.Host("costa-a-1"), clustertest.Lookup(fmt.Sprintf("/tracks/%d", i)))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed[verdict.From(err).Reason]++
				return
			}
			took = append(took, time.Since(start))
		})
		time.Sleep(50 * time.Millisecond)
	}
	wait.Wait()
	slices.Sort(took)
	require.NotEmpty(c.T, took)
	assert.Empty(c.T, failed, "lookups that were not served")
	return took[len(took)*99/100]
}

// download requests one bundle after another until ctx ends.
func (c *cluster) download(ctx context.Context) {
	for ctx.Err() == nil {
		req := &call.Request{
			Service: "documents", Method: http.MethodGet, Target: fmt.Sprintf("/bytes/%d", bundleBytes), Deadline: time.Now().Add(time.Minute),
		}
		resp, err := c.Host("costa-a-2").Do(ctx, req)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

// sentBy returns the number of bytes that a zone's hosts sent on the link to costa.
func (c *cluster) sentBy(zone string) int64 {
	var sum int64
	for i := range 2 {
		sum += c.Host(fmt.Sprintf("%s-%d", zone, i+1)).SentTo("costa")
	}
	return sum
}
