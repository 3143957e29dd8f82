package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"cairndock/platform/platformtest"
)

const (
	// maxApplyDelay is the maximum time from the acceptance of a configuration to its
	// use by all hosts, as in the hosts' settings.
	maxApplyDelay = 2 * time.Second
	// maxDrainDelay is the maximum time from the start of an upstream's draining to its
	// last new request, as in the hosts' settings.
	maxDrainDelay = 2 * time.Second
	// maxEvacuationDelay is the maximum time until an evacuation or its end is in force
	// at all hosts.
	maxEvacuationDelay = 2 * time.Second
	// slack is added to time bounds that are measured from outside, to allow for a
	// loaded machine.
	slack = 700 * time.Millisecond
	// probeTimeout is the timeout that probes send with their requests.
	probeTimeout = 900 * time.Millisecond
)

// watchVersions probes which version of the configuration a host uses. One process must
// never use an older version than before, and must use each version within maxApplyDelay
// after the store accepted it.
func (w *world) watchVersions(ctx context.Context, h *host) {
	process, highest := 0, 0
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(w.probeInterval())
		w.mu.Lock()
		newest := w.version
		w.mu.Unlock()
		if now := h.processNumber(); now != process {
			process, highest = now, 0
		}
		requested := max(highest, newest-n%2, 1) // versions begin at 1
		w.mu.Lock()
		accepted := w.acceptedAt[requested]
		w.mu.Unlock()
		due := w.storeDisruptions.settled() && h.settled() && time.Since(accepted) > maxApplyDelay+slack
		status := w.probe(h, requested)
		sameProcess := h.processNumber() == process
		if status != 0 && sameProcess {
			h.recordServing(process)
		}
		switch {
		case status == http.StatusNotFound && sameProcess && requested <= highest:
			w.violation("config: %s returned to a version before %d", h.name, highest)
		case status == http.StatusNotFound && due && sameProcess && h.settled():
			w.violation("config: %s lacks version %d %s after it was accepted", h.name, requested, time.Since(accepted))
		case status != 0 && status != http.StatusNotFound && status != http.StatusServiceUnavailable && sameProcess:
			highest = max(highest, requested)
		}
	}
}

// probeClient opens a new connection for each probe.
var probeClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// probe sends a request on the route of a version and returns the status, or 0 if there
// was no response.
func (w *world) probe(h *host, version int) int { return w.probeWith(h, version, unlimitedKey) }

func (w *world) probeWith(h *host, version int, key string) int {
	req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/v%d/x", h.clients, version), nil)
	if err != nil {
		w.violation("harness: probe of %s: %v", h.name, err)
		return 0
	}
	req.Host = hostname
	id := fmt.Sprintf("probe-%s-%d-%d", h.name, version, rand.Int64())
	platformtest.Request{ID: id, Credential: key, Timeout: probeTimeout}.SetHeaders(req.Header)
	w.recordRequest()
	resp, err := probeClient.Do(req)
	if err != nil {
		return 0
	}
	// The body is read only so that the connection closes cleanly.
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// awaitService waits until every host serves requests.
func (w *world) awaitService(timeout time.Duration) {
	for _, h := range w.hosts {
		if !w.awaitHost(h, timeout) {
			return
		}
	}
}

// awaitHost waits until a host serves requests, and reports whether it does so in time.
func (w *world) awaitHost(h *host, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); w.probe(h, 1) != http.StatusOK; {
		if time.Now().After(end) {
			w.violation("recovery: %s does not serve", h.name)
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
	return true
}

// checkDrained records a violation for a request that reached an upstream after its
// drain deadline, unless a recent fault excuses it.
func (w *world) checkDrained(upstream, request string) {
	if w.settled() {
		w.violation("drain: %s got %s too late", upstream, request)
	}
}

// checkLedger checks that no refused request ran, and that no request that must not be
// repeated ran twice.
func (w *world) checkLedger() {
	w.mu.Lock()
	notRun := w.notRun
	w.mu.Unlock()
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	for id, address := range notRun {
		if n := w.ledger.runs[id]; n > 0 {
			w.violation("refused: %s was refused at %s as not run, but ran %d times", id, address, n)
		}
	}
	for id, n := range w.ledger.runs {
		if n > 1 && strings.HasPrefix(id, oncePrefix) {
			w.violation("twice: %s ran %d times", id, n)
		}
	}
}
