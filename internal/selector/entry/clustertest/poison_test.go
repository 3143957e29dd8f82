package clustertest

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// poisonTarget is the target of a request that terminates each upstream that
	// runs it.
	poisonTarget = "/tracks/poison"
	// restartDelay is the time after which a terminated upstream starts again.
	restartDelay = 1500 * time.Millisecond
	// poisonRepeats is how often the request is sent, at intervals of poisonInterval.
	poisonRepeats  = 80
	poisonInterval = 150 * time.Millisecond
	// learnTimeout is the time within which the hosts must learn of the request.
	// Afterwards, upstreams may receive it at most maxLateRuns times.
	learnTimeout = 4 * time.Second
	maxLateRuns  = 3
	// minOthersServed is the minimum number of other requests that must be served
	// at the same time.
	minOthersServed = poisonRepeats * 9 / 10
)

// poisonRecord holds the times at which the request was run and the times at which
// it terminated upstreams.
type poisonRecord struct {
	mu                 sync.Mutex
	runs, terminations []time.Time
}

// terminateOnPoison makes the request terminate an upstream, which then starts again
// as another instance with the same behavior.
func (p *poisonRecord) terminateOnPoison(c *Cluster, name string) {
	u := c.Upstreams[name]
	var once sync.Once
	u.TerminateOn(func(target string) bool {
		if target != poisonTarget {
			return false
		}
		p.mu.Lock()
		p.runs = append(p.runs, time.Now())
		p.mu.Unlock()
		time.Sleep(Latency)
		once.Do(func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.terminations = append(p.terminations, time.Now())
			time.AfterFunc(restartDelay, func() {
				p.mu.Lock()
				defer p.mu.Unlock()
				c.StartUpstream(name, u.Instance+"+")
				p.terminateOnPoison(c, name)
			})
		})
		return true
	})
}

// lateRuns returns how often the request ran more than learnTimeout after its third
// termination.
func (p *poisonRecord) lateRuns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, at := range p.runs {
		if len(p.terminations) >= 3 && at.After(p.terminations[2].Add(learnTimeout)) {
			n++
		}
	}
	return n
}

// Guards against a request that terminates one upstream after another. A host sent
// the request to up to three more upstreams after the first termination, and clients
// repeated it through other hosts. The hosts stored nothing by which they could
// recognize the request when it was repeated, with or without a ticket.
func TestARequestThatEndsUpstreamsIsSoonSentNoMore(t *testing.T) {
	Run(t, Anywhere, func(c *Cluster) {
		var p poisonRecord
		for name := range c.Upstreams {
			p.terminateOnPoison(c, name)
		}
		var wait sync.WaitGroup
		var served atomic.Int64
		for i := range poisonRepeats {
			hosts := c.Live()
			wait.Go(func() { _, _ = Ask(hosts[i%len(hosts)], Lookup(poisonTarget)) }) // p counts the runs
			wait.Go(func() {
				if _, err := Ask(hosts[(i+4)%len(hosts)], Lookup("/tracks/7")); err == nil {
					served.Add(1)
				}
			})
			time.Sleep(poisonInterval)
		}
		wait.Wait()
		time.Sleep(2 * restartDelay) // until all upstreams run again
		t.Logf("%d terminations, %d runs, %d of them late; %d of %d others served", len(p.terminations), len(p.runs), p.lateRuns(), served.Load(), poisonRepeats)
		require.LessOrEqual(t, p.lateRuns(), maxLateRuns)
		require.GreaterOrEqual(t, served.Load(), int64(minOthersServed))
	})
}
