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
	// applyWithin is the bound from an accepted configuration to its use, as
	// in the hosts' settings.
	applyWithin = 2 * time.Second
	// drainWithin is the bound from an upstream's draining to its last new
	// request, as in the hosts' settings.
	drainWithin = 2 * time.Second
	// evacuateWithin is the bound for an evacuation.
	evacuateWithin = 2 * time.Second
	// slack is added to bounds that are measured from outside, for a loaded
	// machine.
	slack = 700 * time.Millisecond
	// probeTimeout is what probes say they wait.
	probeTimeout = 900 * time.Millisecond
)

// watchVersions probes which version of the configuration a host uses: never an
// older one than before in one process, and each soon after it was accepted.
func (w *world) watchVersions(ctx context.Context, h *host) {
	process, highest := 0, 0
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(w.probeEvery())
		w.mu.Lock()
		newest := w.version
		w.mu.Unlock()
		if now := h.processNumber(); now != process {
			process, highest = now, 0
		}
		ask := max(highest, newest-n%2, 1) // there is no version 0
		w.mu.Lock()
		accepted := w.acceptedAt[ask]
		w.mu.Unlock()
		due := w.storeDisruptions.calm() && h.calm() && time.Since(accepted) > applyWithin+slack
		status := w.probe(h, ask)
		same := h.processNumber() == process
		if status != 0 && same {
			h.noteServing(process)
		}
		switch {
		case status == http.StatusNotFound && same && ask <= highest:
			w.violation("config: %s went back behind version %d", h.name, highest)
		case status == http.StatusNotFound && due && same && h.calm():
			w.violation("config: %s lacks version %d %s after it was accepted", h.name, ask, time.Since(accepted))
		case status != 0 && status != http.StatusNotFound && status != http.StatusServiceUnavailable && same:
			highest = max(highest, ask)
		}
	}
}

// probeClient makes a connection for each probe.
var probeClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// probe sends a request on the route of a version and gives the status; 0
// without a response.
func (w *world) probe(h *host, version int) int { return w.probeWith(h, version, openKey) }

func (w *world) probeWith(h *host, version int, key string) int {
	req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/v%d/x", h.clients, version), nil)
	if err != nil {
		w.violation("harness: probe of %s: %v", h.name, err)
		return 0
	}
	req.Host = hostname
	id := fmt.Sprintf("probe-%s-%d-%d", h.name, version, rand.Int64())
	platformtest.Request{ID: id, Credential: key, Timeout: probeTimeout}.SetHeaders(req.Header)
	resp, err := probeClient.Do(req)
	if err != nil {
		return 0
	}
	// The status is enough: what follows is read only to end the connection
	// in order.
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// awaitService waits until every host serves.
func (w *world) awaitService(timeout time.Duration) {
	for _, h := range w.hosts {
		if !w.awaitHost(h, timeout) {
			return
		}
	}
}

// awaitHost waits until a host serves, and reports whether it does.
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

// checkDrained is called for a request that an upstream got after it should
// have got none.
func (w *world) checkDrained(upstream, request string) {
	if w.calm() {
		w.violation("drain: %s got %s too late", upstream, request)
	}
}

// checkLedger checks that no refused request ran, and none that may not be
// repeated ran twice.
func (w *world) checkLedger() {
	w.mu.Lock()
	notRun := w.notRun
	w.mu.Unlock()
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	for id, address := range notRun {
		if n := w.ledger.runs[id]; n > 0 {
			w.violation("refused: %s was refused at %s as not run, and ran %d times", id, address, n)
		}
	}
	for id, n := range w.ledger.runs {
		if n > 1 && strings.HasPrefix(id, oncePrefix) {
			w.violation("twice: %s ran %d times", id, n)
		}
	}
}
