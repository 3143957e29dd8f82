package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway"
	"cairndock/internal/gateway/dial"
	"cairndock/internal/pause"
	"cairndock/platform/platformtest"
)

// Hosts can be cut off from all upstreams, while clients, the store and other hosts reach
// them. Each host connects to upstreams from a source address of its own, by which links
// recognize its connections. New connections fail in the host's process: a link could only
// accept and close them.

const (
	// sourceVar is the environment variable with the IP address from which a host connects
	// to upstreams. cutVar is that with the file that has the host's cut.
	sourceVar = "CAIRNDOCK_SOAK_SOURCE"
	cutVar    = "CAIRNDOCK_SOAK_CUT"
)

// cut is what happens to a host's connections to upstreams. Its values are the content of
// the file of cutVar.
type cut string

const (
	// cutReset resets the open connections and refuses new ones.
	cutReset cut = "reset"
	// cutSilent makes the open connections silent, and new ones time out.
	cutSilent cut = "silent"
	// cutNew refuses new connections. Open ones live on.
	cutNew cut = "new"
)

var cuts = []cut{cutReset, cutSilent, cutNew}

// dialUnlessCut connects a host's process to an upstream.
func dialUnlessCut(ctx context.Context, network, address string) (net.Conn, error) {
	content, err := os.ReadFile(os.Getenv(cutVar))
	if err != nil && !os.IsNotExist(err) {
		return nil, eris.Wrap(err, "read the cut")
	}
	switch cut(content) {
	case cutReset, cutNew:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	case cutSilent:
		ctx, cancel := context.WithTimeout(ctx, gateway.UpstreamDialTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ETIMEDOUT}
	}
	d := dial.New(gateway.UpstreamDialTimeout)
	d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(os.Getenv(sourceVar))}
	return d.DialContext(ctx, network, address)
}

// sources counts the assigned source addresses.
var sources atomic.Int32

// nextSource returns a source address that no other host of this process has.
func nextSource() string {
	n := sources.Add(1)
	return fmt.Sprintf("127.1.%d.%d", n/250, 1+n%250)
}

// cutFile is the name of the file that has the host's cut.
func (h *host) cutFile() string { return strings.TrimSuffix(h.settings, ".toml") + ".cut" }

// cutOff cuts hosts off from all upstreams until the returned function is called.
func (w *world) cutOff(cutHosts map[*host]cut) (end func()) {
	for h, c := range cutHosts {
		w.writeCut(h, c)
	}
	w.setLinks(cutHosts)
	stop := make(chan struct{})
	var applied sync.WaitGroup
	applied.Go(func() { // upstreams that start later are cut off as well
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				w.setLinks(cutHosts)
			}
		}
	})
	return func() {
		close(stop)
		applied.Wait()
		none := map[*host]cut{}
		for h := range cutHosts {
			w.writeCut(h, "")
			none[h] = ""
		}
		w.setLinks(none)
	}
}

// writeCut writes the cut of a host's new connections. The file is replaced at once, because
// the host may read it at any time.
func (w *world) writeCut(h *host, c cut) {
	temporary := h.cutFile() + ".new"
	if err := os.WriteFile(temporary, []byte(c), 0o600); err != nil {
		w.violation("harness: cut of %s: %v", h.name, err)
	}
	if err := os.Rename(temporary, h.cutFile()); err != nil {
		w.violation("harness: cut of %s: %v", h.name, err)
	}
}

// setLinks applies cuts to the open connections of hosts.
func (w *world) setLinks(cutHosts map[*host]cut) {
	w.mu.Lock()
	defer w.mu.Unlock()
	modes := map[cut]linkMode{cutReset: refuse, cutSilent: silence, cutNew: pass, "": pass}
	for _, u := range w.everyUpstream {
		for h, c := range cutHosts {
			u.link.setFor(h.source, modes[c])
		}
	}
}

const (
	// isolationTouch is the time after the begin of a cut from which clients must be served.
	isolationTouch = 4 * time.Second
	// isolationLength is how long the cut lasts after that.
	isolationLength = 3 * time.Second
	// isolationGap is the time between two requests to a host.
	isolationGap = 30 * time.Millisecond
)

// Callers of hosts that had lost the path to all upstreams got 503 for as long as the cut lasted.
func TestClientsOfHostsWithoutAPathToUpstreamsAreServed(t *testing.T) {
	t.Parallel()
	w := newTimedWorld(t, defaultSeed)
	for i := range extraUpstreams {
		w.addUpstream(zones[i%len(zones)].name)
	}
	w.startHosts(10 * time.Second)
	cutHosts := map[*host]cut{}
	for i, h := range append(w.hostsOf(zones[0].name), w.hosts[1], w.hosts[2]) {
		cutHosts[h] = cuts[i%len(cuts)]
	}
	require.Len(t, cutHosts, 5, "all hosts of a zone, and one of each other zone")
	end := w.cutOff(cutHosts)
	begin, ejections := time.Now(), w.ejections(t)
	sent := w.sendEvenly(t, "isolation", isolationGap, isolationTouch+isolationLength)
	end()
	time.Sleep(2 * time.Second) // until the path is used again
	sent.requireServed(t, cutHosts, begin.Add(isolationTouch))
	sent.requireProof(t, w.ledger)
	for _, h := range w.hosts {
		require.Zero(t, h.metric(t, "cairndock_isolated"), h.name)
	}
	for h, n := range w.ejections(t) {
		if cutHosts[h] == "" {
			require.Equal(t, ejections[h], n, "%s ejected upstreams that work", h.name)
		}
	}
}

// hostsOf returns the hosts of a zone.
func (w *world) hostsOf(zone string) []*host {
	var all []*host
	for _, h := range w.hosts {
		if h.zone.name == zone {
			all = append(all, h)
		}
	}
	return all
}

// sentRequest is a request and the status of its response.
type sentRequest struct {
	id     string
	host   *host
	method string
	sentAt time.Time
	status int
}

// sentRequests are requests that were sent to all hosts. No request was sent again.
type sentRequests struct {
	mu  sync.Mutex
	all []sentRequest
}

// sendEvenly sends requests to all hosts for a time, alternately of both kinds. gap is the time
// between two requests to a host.
func (w *world) sendEvenly(t *testing.T, name string, gap, length time.Duration) *sentRequests {
	var sent sentRequests
	var wait sync.WaitGroup
	for end, n := time.Now().Add(length), 0; time.Now().Before(end); n++ {
		for _, h := range w.hosts {
			r := sentRequest{id: fmt.Sprint(name, "-", h.name, "-", n), host: h, method: http.MethodGet, sentAt: time.Now()}
			path := "/safe/x"
			if n%2 == 1 {
				r.method, path = http.MethodPost, "/once/x"
			}
			wait.Go(func() {
				r.status = w.sendKeyed(t.Context(), http.DefaultClient, h, platformtest.Request{ID: r.id, Key: fmt.Sprint(n % keys)}, r.method, path, "")
				sent.mu.Lock()
				defer sent.mu.Unlock()
				sent.all = append(sent.all, r)
			})
		}
		time.Sleep(gap)
	}
	wait.Wait()
	return &sent
}

// requireServed requires that of the requests that were sent from a time on, each host without
// a path served at least two thirds as much as the others, which is the platform's bound.
func (s *sentRequests) requireServed(t *testing.T, cutHosts map[*host]cut, from time.Time) {
	sent, served := map[*host]float64{}, map[*host]float64{}
	othersSent, othersServed := 0.0, 0.0
	for _, r := range s.all {
		if r.sentAt.Before(from) {
			continue
		}
		ok := 0.0
		if r.status == http.StatusOK {
			ok = 1
		} else {
			t.Logf("%s at %s: status %d\n%s", r.id, r.host.name, r.status, r.host.requestLog(r.id))
		}
		sent[r.host]++
		served[r.host] += ok
		if cutHosts[r.host] == "" {
			othersSent++
			othersServed += ok
		}
	}
	t.Logf("with a path: %.0f of %.0f served", othersServed, othersSent)
	for h, c := range cutHosts {
		t.Logf("%s without a path (%s): %.0f of %.0f served", h.name, c, served[h], sent[h])
	}
	for h, c := range cutHosts {
		require.GreaterOrEqual(t, served[h]/sent[h], 2.0/3*othersServed/othersSent, "%s (%s)", h.name, c)
	}
}

// requireProof requires that what was refused did not run, and that no request ran twice that
// must not.
func (s *sentRequests) requireProof(t *testing.T, l *ledger) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range s.all {
		if r.status == http.StatusServiceUnavailable {
			require.Zero(t, l.runs[r.id], r.id)
		}
		if r.method == http.MethodPost {
			require.LessOrEqual(t, l.runs[r.id], 1, r.id)
		}
	}
}

// ejections returns how many upstreams each host has ejected so far.
func (w *world) ejections(t *testing.T) map[*host]float64 {
	n := map[*host]float64{}
	for _, h := range w.hosts {
		n[h] = h.metric(t, "cairndock_ejections_total")
	}
	return n
}

// metric returns the value of a metric without labels.
func (h *host) metric(t *testing.T, name string) float64 {
	resp, err := probeClient.Get("http://" + h.metrics + "/")
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }() // the body was read completely
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
			require.NoError(t, err)
			return v
		}
	}
	require.True(t, strings.HasSuffix(name, "_total"), "no metric %s", name)
	return 0 // nothing was counted yet
}

const (
	// minIsolationPause and maxIsolationPause bound the time between two cuts in a run, and
	// minIsolation and maxIsolation their length.
	minIsolationPause, maxIsolationPause = 200 * time.Millisecond, 1500 * time.Millisecond
	minIsolation, maxIsolation           = 300 * time.Millisecond, 5 * time.Second
)

// isolateHosts cuts hosts off from all upstreams again and again until the context ends: one
// host, most of a zone or a whole zone. It has a random source of its own, so that it does not
// change which other faults a seed has.
func (w *world) isolateHosts(ctx context.Context) {
	random := rand.New(rand.NewPCG(w.seed, 67))
	between := func(a, b time.Duration) time.Duration { return a + time.Duration(random.Int64N(int64(b-a))) }
	for pause.For(ctx, between(minIsolationPause, maxIsolationPause)) {
		hosts := w.hostsOf(zones[random.IntN(len(zones))].name)
		random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
		n := []int{1, max(1, len(hosts)-1), len(hosts)}[random.IntN(3)]
		cutHosts := map[*host]cut{}
		for _, h := range hosts[:min(n, len(hosts))] {
			cutHosts[h] = cuts[random.IntN(len(cuts))]
		}
		w.isolate(ctx, cutHosts, between(minIsolation, maxIsolation))
	}
}

// isolate cuts hosts off from all upstreams for a time.
func (w *world) isolate(ctx context.Context, cutHosts map[*host]cut, length time.Duration) {
	began := time.Now()
	for h, c := range cutHosts {
		w.t.Logf("seed %d: cut %s off from all upstreams (%s) for %s", w.seed, h.name, c, length)
		defer h.disruptions.begin()()
	}
	end := w.cutOff(cutHosts)
	pause.For(ctx, length)
	end()
	w.record.fault(began, "cut hosts off from all upstreams")
}
