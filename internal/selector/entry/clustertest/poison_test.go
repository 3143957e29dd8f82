package clustertest

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// poisonTarget is the target of a request that ends each upstream that runs it.
	poisonTarget = "/tracks/poison"
	// poisonBack is the time until an upstream that ended is back.
	poisonBack = 1500 * time.Millisecond
	// poisonRepeats is how often the request comes, and poisonEvery the time between.
	poisonRepeats = 80
	poisonEvery   = 150 * time.Millisecond
	// knownAfter is the time that hosts have to learn of it, and sentAfter how often it
	// may be sent after that.
	knownAfter = 4 * time.Second
	sentAfter  = 3
	// othersServed is the least number of other requests that are served beside it.
	othersServed = poisonRepeats * 9 / 10
)

// poisonRecord is when the request was run, and when upstreams ended by it.
type poisonRecord struct {
	mu         sync.Mutex
	sent, ends []time.Time
}

// infect has an upstream end by the request, and start again as another instance.
func (p *poisonRecord) infect(c *Cluster, name string) {
	u := c.Upstreams[name]
	var once sync.Once
	u.TerminateOn(func(target string) bool {
		if target != poisonTarget {
			return false
		}
		p.mu.Lock()
		p.sent = append(p.sent, time.Now())
		p.mu.Unlock()
		time.Sleep(Latency)
		once.Do(func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.ends = append(p.ends, time.Now())
			time.AfterFunc(poisonBack, func() {
				p.mu.Lock()
				defer p.mu.Unlock()
				c.StartUpstream(name, u.Instance+"+")
				p.infect(c, name)
			})
		})
		return true
	})
}

// late is how often the request was sent once hosts had had time to know it.
func (p *poisonRecord) late() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, at := range p.sent {
		if len(p.ends) >= 3 && at.After(p.ends[2].Add(knownAfter)) {
			n++
		}
	}
	return n
}

// A request ended the upstream that ran it, was sent to up to three more by the same
// host, and came again to other hosts.
//
// The cause is the gateway's: hosts kept nothing by which the request could be known
// when it came again, with or without a ticket. The evidence: the counts below.
func TestARequestThatEndsUpstreamsIsSoonSentNoMore(t *testing.T) {
	Run(t, Anywhere, func(c *Cluster) {
		var p poisonRecord
		for name := range c.Upstreams {
			p.infect(c, name)
		}
		var wait sync.WaitGroup
		var served atomic.Int64
		for i := range poisonRepeats {
			hosts := c.Live()
			wait.Go(func() { _, _ = Ask(hosts[i%len(hosts)], Lookup(poisonTarget)) }) // the record counts
			wait.Go(func() {
				if _, err := Ask(hosts[(i+4)%len(hosts)], Lookup("/tracks/7")); err == nil {
					served.Add(1)
				}
			})
			time.Sleep(poisonEvery)
		}
		wait.Wait()
		time.Sleep(2 * poisonBack) // until all are back
		t.Logf("%d ended, sent %d times, %d of them late; %d of %d others served", len(p.ends), len(p.sent), p.late(), served.Load(), poisonRepeats)
		require.LessOrEqual(t, p.late(), sentAfter)
		require.GreaterOrEqual(t, served.Load(), int64(othersServed))
	})
}
