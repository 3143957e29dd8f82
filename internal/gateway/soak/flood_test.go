package soak

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Upstreams that send bytes without end instead of responses. Two of 15 made a host grow from 32 to
// 1,208 MB, where hosts have 184 MB.

// flood is the bytes of a response without end: a beginning, and a text that is repeated.
type flood struct {
	// start is the beginning. It is the complete head of a response if framing is set: the header
	// line that says where the body ends.
	start, framing string
	repeated       string
}

// floods are the kinds of such responses. Each upstream sends them in turn.
var floods = []flood{
	{start: "HTTP/1.1 200 OK\r\nA: ", repeated: "x"},
	{start: "HTTP/1.1 200 OK\r\n", repeated: "Name: value\r\n"},
	{start: "HTTP/1.1 200 ", repeated: "x"},
	{repeated: "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{repeated: "\x16\x03\x01"},
	{framing: "Content-Length: 1099511627776", repeated: "x"},
	{framing: "Transfer-Encoding: chunked", repeated: "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
}

// bodyPause is the pause between two blocks of a body, which may be long: without it, the bodies
// take the CPU time of the clients.
const bodyPause = time.Millisecond

// send writes the response until the connection is closed.
func (f flood) send(w http.ResponseWriter, u *upstream, id string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	start := f.start
	if f.framing != "" {
		start = strings.Replace(u.ResponseHead(id, 0), "Content-Length: 0", f.framing, 1)
	}
	_, err = io.WriteString(c, start)
	for block := strings.Repeat(f.repeated, 32<<10/len(f.repeated)); err == nil; {
		_, err = io.WriteString(c, block)
		if f.framing != "" {
			time.Sleep(bodyPause)
		}
	}
}

const (
	// floodUpstreams is the number of upstreams, and flooding that of those which send such
	// responses.
	floodUpstreams, flooding = 15, 3
	// calmLength is how long the load runs before, so that the memory of hosts is steady, and
	// floodTime how long it runs on.
	calmLength, floodTime = 2 * time.Second, 4 * time.Second
	// floodGap is the time between two requests to a host: 200 a second to all.
	floodGap = timedHosts * time.Second / 200
	// maxGrowth is the maximum growth of a host's resident memory, in bytes.
	maxGrowth = 16 << 20
)

func TestUpstreamsThatSendBytesWithoutEndHarmNoHost(t *testing.T) {
	t.Parallel()
	w := newTimedWorld(t, defaultSeed)
	for i := range floodUpstreams - upstreams {
		w.addUpstream(zones[i%len(zones)].name)
	}
	w.startHosts(10 * time.Second)
	var sent *sentRequests
	var load sync.WaitGroup
	load.Go(func() { sent = w.sendEvenly(t, "flood", floodGap, calmLength+floodTime) })
	time.Sleep(calmLength)
	before, began := w.memoryOfHosts(), time.Now()
	for _, u := range w.alive[:flooding] {
		u.flooding.Store(true)
	}
	peak := w.peakMemory(floodTime)
	load.Wait()
	for i, h := range w.hosts {
		t.Logf("%s: %.1f MB before, %.1f MB at most", h.name, float64(before[i])/1e6, float64(peak[i])/1e6)
		require.LessOrEqual(t, peak[i]-before[i], int64(maxGrowth), h.name)
	}
	w.requireOthersServed(t, sent, began)
	sent.requireProof(t, w.ledger)
	require.Empty(t, w.violations, "such as a host that ended by itself")
}

// requireOthersServed requires that of the requests that were sent from a time on and did not
// arrive at a flooding upstream, 99 of 100 were served at the first try. Soon the flooding
// upstreams get almost no requests.
func (w *world) requireOthersServed(t *testing.T, sent *sentRequests, from time.Time) {
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	others, served, hit, hitServed, late, lateHit := 0, 0, 0, 0, 0, 0
	for _, r := range sent.all {
		if r.sentAt.Before(from) {
			continue
		}
		flooded := false
		for _, a := range w.ledger.arrivals[r.id] {
			flooded = flooded || a.upstream.flooding.Load()
		}
		ok := 0
		if r.status == http.StatusOK {
			ok = 1
		}
		if r.sentAt.After(from.Add(floodTime / 4)) {
			late++
		}
		if !flooded {
			others, served = others+1, served+ok
			if ok == 0 {
				t.Logf("%s: status %d\n%s", r.id, r.status, r.host.requestLog(r.id))
			}
			continue
		}
		hit, hitServed = hit+1, hitServed+ok
		if r.sentAt.After(from.Add(floodTime / 4)) {
			lateHit++
		}
	}
	t.Logf("%.0f requests per second; %d of %d other requests served, %d of %d that arrived at a flooding upstream; %d of %d after %s", float64(others+hit)/floodTime.Seconds(), served, others, hitServed, hit, lateHit, late, floodTime/4)
	require.GreaterOrEqual(t, float64(served), 0.99*float64(others))
	// Without outlier detection, flooding of floodUpstreams of the requests go there.
	require.Less(t, float64(lateHit), float64(late)*flooding/floodUpstreams/2)
}

// memoryOfHosts returns the resident memory of each host, in bytes.
func (w *world) memoryOfHosts() []int64 {
	all := make([]int64, len(w.hosts))
	for i, h := range w.hosts {
		all[i] = h.residentMemory()
	}
	return all
}

// peakMemory returns the highest resident memory of each host over a time.
func (w *world) peakMemory(length time.Duration) []int64 {
	peak := make([]int64, len(w.hosts))
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for i, n := range w.memoryOfHosts() {
			peak[i] = max(peak[i], n)
		}
	}
	return peak
}
