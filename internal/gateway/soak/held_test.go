package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/platform/platformtest"
)

const (
	// heldRequests is the number of requests to each host while the links are held.
	heldRequests = 16
	// heldBodyBytes is the size of their bodies. It exceeds the buffers of a held link.
	heldBodyBytes = 200 << 10
	// heldWindow is the receive buffer of the links in bytes.
	heldWindow = 32 << 10
	// heldTimeout is how long their clients wait, and heldLength how long the links are held.
	// It is below the time after which connections without acknowledgements fail.
	heldTimeout, heldLength = 300 * time.Millisecond, 600 * time.Millisecond
)

// Requests that the kernel of a host held back ran after their clients had got 504, and those
// of a killed host after its end. They must not be repeated.
func TestHeldRequestsDoNotRunAfterTheirEnd(t *testing.T) {
	t.Parallel()
	w := newWorld(t, defaultSeed, 2)
	var mu sync.Mutex
	var ran []string
	for _, u := range w.alive {
		u.link.window.Store(heldWindow)
		u.receivedWhole = func(id string) {
			mu.Lock()
			defer mu.Unlock()
			if strings.HasPrefix(id, oncePrefix) {
				ran = append(ran, id)
			}
		}
	}
	w.startHosts(10 * time.Second)
	for _, u := range w.alive {
		u.link.set(hold)
	}
	var clients sync.WaitGroup
	for _, h := range w.hosts {
		for n := range heldRequests {
			clients.Go(func() { require.NotEqual(t, http.StatusOK, w.sendHeld(h, fmt.Sprint(oncePrefix, h.name, "-", n))) })
		}
	}
	time.Sleep(heldTimeout / 2)
	w.hosts[1].kill()
	clients.Wait()
	time.Sleep(heldLength - heldTimeout)
	for _, u := range w.alive {
		u.link.set(pass)
	}
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	require.Empty(t, ran, "requests that reached an upstream whole")
	require.Positive(t, w.hosts[0].unacknowledgedAttempts(), "requests were held")
}

// sendHeld sends a request with a body of heldBodyBytes, and returns the status of its
// response, or 0 without a response.
func (w *world) sendHeld(h *host, id string) int {
	ctx, cancel := context.WithTimeout(w.t.Context(), clientTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.clients+"/once/x", strings.NewReader(strings.Repeat("x", heldBodyBytes)))
	require.NoError(w.t, err)
	r.Host, r.Close = hostname, true
	platformtest.Request{ID: id, Credential: unlimitedKey, Timeout: heldTimeout}.SetHeaders(r.Header)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close() // only the status matters
	return resp.StatusCode
}

// unacknowledgedAttempts returns the number of attempts in the host's log that were given up
// while the upstream had not acknowledged all bytes.
func (h *host) unacknowledgedAttempts() int {
	n := 0
	for line := range strings.Lines(h.log.String()) {
		if strings.Contains(line, `"event":"attempt"`) && !strings.Contains(line, `"unacked_bytes":0,`) {
			n++
		}
	}
	return n
}
