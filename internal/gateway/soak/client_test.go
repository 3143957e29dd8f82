package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cairndock/platform/platformtest"
)

const (
	// oncePrefix marks the ids of requests that may not be repeated.
	oncePrefix = "once-"
	// clientTimeout is what clients say they wait.
	clientTimeout = 2 * time.Second
	// clientPause is the longest pause between two requests of a client.
	clientPause = 15 * time.Millisecond
	// keys is how many affinity keys there are.
	keys = 40
	// resolveEvery is after how many requests a client resolves the host name
	// again.
	resolveEvery = 10
)

// client sends requests until the context ends: half of them may not be
// repeated. It keeps connections open until they break.
func (w *world) client(ctx context.Context, number int) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, ResponseHeaderTimeout: 4 * time.Second}
	defer transport.CloseIdleConnections()
	c := &http.Client{Transport: transport, Timeout: 5 * time.Second}
	r := rand.New(rand.NewPCG(w.seed, uint64(number)))
	addresses := w.resolve(ctx, c, r)
	for n := 0; ctx.Err() == nil; n++ {
		if n%resolveEvery == 0 || len(addresses) == 0 {
			addresses = w.resolve(ctx, c, r)
		}
		if len(addresses) == 0 {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		id := fmt.Sprintf("safe-%d-%d", number, n)
		if r.IntN(2) == 0 {
			id = fmt.Sprintf("%s%d-%d", oncePrefix, number, n)
		}
		w.send(c, addresses[r.IntN(len(addresses))], id, r)
		time.Sleep(time.Duration(r.IntN(int(clientPause/time.Millisecond))) * time.Millisecond)
	}
}

// resolve resolves the host name at one host's directory, as a client of that
// host's zone. It gives nothing if the host does not respond, which faults may cause.
func (w *world) resolve(ctx context.Context, c *http.Client, r *rand.Rand) []string {
	h := w.hosts[r.IntN(len(w.hosts))]
	ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancel()
	addresses, err := platformtest.Resolve(ctx, c, h.directory, platformtest.Location{Name: hostname, Zone: h.zone.name, Region: h.zone.region})
	if err != nil {
		return nil
	}
	return addresses
}

// send sends one request and checks the response.
func (w *world) send(c *http.Client, address, id string, r *rand.Rand) {
	req, err := newRequest(address, id)
	if err != nil {
		w.violation("harness: request to %s: %v", address, err)
		return
	}
	platformtest.Request{ID: id, Key: strconv.Itoa(r.IntN(keys)), Timeout: clientTimeout}.SetHeaders(req.Header)
	began := time.Now()
	resp, err := c.Do(req)
	if err != nil {
		w.record.request(began, time.Since(began), failed)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	w.record.request(began, time.Since(began), outcomeOf(resp.StatusCode, err))
	if err == nil {
		w.checkResponse(address, id, resp.StatusCode, string(text))
	}
}

// newRequest makes a request of the kind that its id says. A GET has no body,
// and none can be made anew: net/http repeats a request by itself only then and
// if the method allows it, and a repeat of one that may run once would count as
// a violation.
func newRequest(address, id string) (*http.Request, error) {
	method, path := http.MethodGet, "/safe/x"
	var payload io.Reader
	if strings.HasPrefix(id, oncePrefix) {
		method, path = http.MethodPost, "/once/x"
		payload = strings.NewReader("payload of " + id)
	}
	req, err := http.NewRequest(method, "http://"+address+path, payload)
	if err != nil {
		return nil, err
	}
	req.Host = hostname
	req.GetBody = nil
	return req, nil
}

// checkResponse checks a whole response: it belongs to the request and the route
// exists. A refused request is recorded, for checkLedger, as one that must not run.
func (w *world) checkResponse(address, id string, status int, text string) {
	switch status {
	case http.StatusOK:
		if text != body(id) {
			w.violation("mixed: %s got %.60q", id, text)
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		if strings.HasPrefix(id, oncePrefix) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.notRun[id] = address
		}
	case http.StatusNotFound:
		w.violation("denied: %s got 404 at %s", id, address)
	}
}

func outcomeOf(status int, err error) outcome {
	switch {
	case err == nil && status == http.StatusOK:
		return served
	case err == nil && status == http.StatusServiceUnavailable:
		return refused
	default:
		return failed
	}
}
